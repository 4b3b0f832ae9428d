//! The processes of a bench: start, signals, restart after a crash, and end, by process id.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{kill, Signal},
    unistd::Pid,
};
use smol_str::SmolStr;

use crate::error::LabError;

/// How often the supervisor checks for processes that have exited.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);

/// The command that starts a process.
#[derive(Clone, Debug)]
pub struct LaunchCommand {
    name: SmolStr,
    program: PathBuf,
    args: Vec<String>,
    restart_delay: Option<Duration>,
}

impl LaunchCommand {
    fn new(name: &str, program: &str) -> Result<Self, LabError> {
        let path = program_path(program)?;
        if !path.exists() {
            return Err(LabError::NotBuilt { path });
        }
        Ok(Self {
            name: name.into(),
            program: path,
            args: Vec::new(),
            restart_delay: None,
        })
    }

    /// A command of balsamjunction-lab. `name` names the process and its log files.
    pub fn lab(name: &str) -> Result<Self, LabError> {
        Self::new(name, "balsamjunction-lab")
    }

    /// A command of balsamjunctiond. `name` names the process and its log files.
    pub fn daemon(name: &str) -> Result<Self, LabError> {
        Self::new(name, "balsamjunctiond")
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: &str) -> Self {
        self.args.push(arg.to_owned());
        self
    }

    /// Adds an option with its value.
    pub fn option(self, name: &str, value: impl ToString) -> Self {
        self.arg(name).arg(&value.to_string())
    }

    /// Restarts the process after this delay whenever it exits, except by [`Processes::kill`].
    pub fn restart_after(mut self, delay: Duration) -> Self {
        self.restart_delay = Some(delay);
        self
    }
}

/// The path of a program, which is in the same folder as this one. Test binaries are in its subfolder
/// `deps`.
fn program_path(program: &str) -> Result<PathBuf, LabError> {
    let current = std::env::current_exe()?;
    let mut dir = current.parent().map(PathBuf::from).unwrap_or_default();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir.join(program))
}

struct ManagedProcess {
    launch: LaunchCommand,
    child: Child,
    exited_at: Option<Instant>,
    keep_running: bool,
}

type ProcessTable = Arc<Mutex<BTreeMap<SmolStr, ManagedProcess>>>;

/// The processes of one bench.
pub struct Processes {
    dir: PathBuf,
    table: ProcessTable,
    shutdown: Arc<AtomicBool>,
    supervisor: Option<JoinHandle<()>>,
}

fn lock(table: &ProcessTable) -> MutexGuard<'_, BTreeMap<SmolStr, ManagedProcess>> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Processes {
    /// An empty set of processes with a supervisor thread; output goes to files in `dir`.
    pub fn new(dir: PathBuf) -> Self {
        let table = ProcessTable::default();
        let shutdown = Arc::new(AtomicBool::new(false));
        let context = (dir.clone(), table.clone(), shutdown.clone());
        let supervisor = thread::spawn(move || supervise(context.0, context.1, context.2));
        Self {
            dir,
            table,
            shutdown,
            supervisor: Some(supervisor),
        }
    }

    /// Starts a process under the name of its command, in place of an earlier one of that name.
    pub fn start(&mut self, launch: LaunchCommand) -> Result<(), LabError> {
        let child = spawn(&self.dir, &launch)?;
        let managed = ManagedProcess {
            child,
            exited_at: None,
            keep_running: true,
            launch,
        };
        lock(&self.table).insert(managed.launch.name.clone(), managed);
        Ok(())
    }

    /// Starts a process again by the command of its last start.
    pub fn restart(&mut self, name: &str) -> Result<(), LabError> {
        let launch = lock(&self.table).get(name).map(|m| m.launch.clone());
        launch.map_or(Ok(()), |launch| self.start(launch))
    }

    /// Sends a signal to a process; does nothing if the name is unknown.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), LabError> {
        let pid = lock(&self.table).get(name).map(|m| m.child.id());
        let Some(pid) = pid else {
            return Ok(());
        };
        Ok(kill(Pid::from_raw(pid as i32), signal)?)
    }

    /// Kills a process by SIGKILL; it is not restarted by the supervisor.
    pub fn kill(&mut self, name: &str) -> Result<(), LabError> {
        if let Some(managed) = lock(&self.table).get_mut(name) {
            managed.keep_running = false;
            managed.child.kill()?;
            managed.child.wait()?;
        }
        Ok(())
    }

    /// Whether a process has exited with success; absent while it runs and if the name is unknown.
    pub fn exit_success(&mut self, name: &str) -> Result<Option<bool>, LabError> {
        let mut table = lock(&self.table);
        let Some(managed) = table.get_mut(name) else {
            return Ok(None);
        };
        Ok(managed.child.try_wait()?.map(|status| status.success()))
    }

    /// The id of a process; absent if the name is unknown.
    pub fn pid(&self, name: &str) -> Option<u32> {
        lock(&self.table).get(name).map(|m| m.child.id())
    }

    /// Stops the supervisor and kills all processes.
    pub fn kill_all(&mut self) {
        self.shutdown.store(true, Ordering::Release);
        if let Some(supervisor) = self.supervisor.take() {
            // If the supervisor panicked, it starts no more processes either.
            let _ = supervisor.join();
        }
        for managed in lock(&self.table).values_mut() {
            // Killing fails for a process that has already exited.
            let _ = managed.child.kill();
        }
        for managed in lock(&self.table).values_mut() {
            let _ = managed.child.wait();
        }
    }
}

fn spawn(dir: &std::path::Path, launch: &LaunchCommand) -> Result<Child, LabError> {
    let file = |suffix: &str| -> Result<File, LabError> {
        let path = dir.join(format!("{}.{suffix}", launch.name));
        Ok(OpenOptions::new().create(true).append(true).open(path)?)
    };
    Ok(Command::new(&launch.program)
        .args(&launch.args)
        .stdin(Stdio::null())
        .stdout(Stdio::from(file("out")?))
        .stderr(Stdio::from(file("log")?))
        .spawn()?)
}

fn supervise(dir: PathBuf, table: ProcessTable, shutdown: Arc<AtomicBool>) {
    while !shutdown.load(Ordering::Acquire) {
        for managed in lock(&table).values_mut() {
            restart_if_due(&dir, managed);
        }
        thread::sleep(SUPERVISION_INTERVAL);
    }
}

/// Restarts a process that has exited, once its restart delay has passed.
fn restart_if_due(dir: &std::path::Path, managed: &mut ManagedProcess) {
    let Some(delay) = managed
        .launch
        .restart_delay
        .filter(|_| managed.keep_running)
    else {
        return;
    };
    if !matches!(managed.child.try_wait(), Ok(Some(_))) {
        return;
    }
    let exited_at = *managed.exited_at.get_or_insert_with(Instant::now);
    if exited_at.elapsed() < delay {
        return;
    }
    if let Ok(child) = spawn(dir, &managed.launch) {
        managed.child = child;
        managed.exited_at = None;
    }
}
