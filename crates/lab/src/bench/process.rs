//! Processes of a bench: started, signalled, started again after a crash, and ended by their id.

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

/// How often crashed processes are looked for.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct LaunchCommand {
    name: SmolStr,
    program: PathBuf,
    args: Vec<String>,
    restart_after: Option<Duration>,
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
            restart_after: None,
        })
    }

    /// A process of the lab itself.
    pub fn lab(name: &str) -> Result<Self, LabError> {
        Self::new(name, "balsamjunction-lab")
    }

    /// A daemon of the system.
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

    /// Starts the process again this long after it ended by itself.
    pub fn restart_after(mut self, pause: Duration) -> Self {
        self.restart_after = Some(pause);
        self
    }
}

/// Programs stand beside this one; tests run one folder further down.
fn program_path(program: &str) -> Result<PathBuf, LabError> {
    let own = std::env::current_exe()?;
    let mut dir = own.parent().map(PathBuf::from).unwrap_or_default();
    if dir.ends_with("deps") {
        dir.pop();
    }
    Ok(dir.join(program))
}

struct Managed {
    launch: LaunchCommand,
    child: Child,
    ended: Option<Instant>,
    wanted: bool,
}

type Table = Arc<Mutex<BTreeMap<SmolStr, Managed>>>;

/// The processes of one bench.
pub struct Processes {
    dir: PathBuf,
    table: Table,
    ending: Arc<AtomicBool>,
    supervisor: Option<JoinHandle<()>>,
}

fn lock(table: &Table) -> MutexGuard<'_, BTreeMap<SmolStr, Managed>> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Processes {
    /// No processes; logs go to `dir`.
    pub fn new(dir: PathBuf) -> Self {
        let table = Table::default();
        let ending = Arc::new(AtomicBool::new(false));
        let supervised = (dir.clone(), table.clone(), ending.clone());
        let supervisor = thread::spawn(move || supervise(supervised.0, supervised.1, supervised.2));
        Self {
            dir,
            table,
            ending,
            supervisor: Some(supervisor),
        }
    }

    /// Starts a process.
    pub fn start(&mut self, launch: LaunchCommand) -> Result<(), LabError> {
        let child = spawn(&self.dir, &launch)?;
        let managed = Managed {
            child,
            ended: None,
            wanted: true,
            launch,
        };
        lock(&self.table).insert(managed.launch.name.clone(), managed);
        Ok(())
    }

    /// Starts a process again as it was started before.
    pub fn restart(&mut self, name: &str) -> Result<(), LabError> {
        let launch = lock(&self.table).get(name).map(|m| m.launch.clone());
        launch.map_or(Ok(()), |launch| self.start(launch))
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) -> Result<(), LabError> {
        let pid = lock(&self.table).get(name).map(|m| m.child.id());
        let Some(pid) = pid else {
            return Ok(());
        };
        Ok(kill(Pid::from_raw(pid as i32), signal)?)
    }

    /// Kills a process without warning; it stays dead.
    pub fn kill(&mut self, name: &str) -> Result<(), LabError> {
        if let Some(managed) = lock(&self.table).get_mut(name) {
            managed.wanted = false;
            managed.child.kill()?;
            managed.child.wait()?;
        }
        Ok(())
    }

    /// Asks a process to stop; it stays stopped. Gives true once it has ended well.
    pub fn exit_success(&mut self, name: &str) -> Result<Option<bool>, LabError> {
        let mut table = lock(&self.table);
        let Some(managed) = table.get_mut(name) else {
            return Ok(None);
        };
        Ok(managed.child.try_wait()?.map(|status| status.success()))
    }

    /// The id of a process.
    pub fn pid(&self, name: &str) -> Option<u32> {
        lock(&self.table).get(name).map(|m| m.child.id())
    }

    /// Ends everything.
    pub fn kill_all(&mut self) {
        self.ending.store(true, Ordering::Release);
        if let Some(supervisor) = self.supervisor.take() {
            // A supervisor that panicked has nothing left to end.
            let _ = supervisor.join();
        }
        for managed in lock(&self.table).values_mut() {
            // A process that has ended already cannot be killed, which is as well.
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

fn supervise(dir: PathBuf, table: Table, ending: Arc<AtomicBool>) {
    while !ending.load(Ordering::Acquire) {
        for managed in lock(&table).values_mut() {
            look_after(&dir, managed);
        }
        thread::sleep(SUPERVISION_INTERVAL);
    }
}

fn look_after(dir: &std::path::Path, managed: &mut Managed) {
    let Some(pause) = managed.launch.restart_after.filter(|_| managed.wanted) else {
        return;
    };
    if !matches!(managed.child.try_wait(), Ok(Some(_))) {
        return;
    }
    let ended = *managed.ended.get_or_insert_with(Instant::now);
    if ended.elapsed() < pause {
        return;
    }
    if let Ok(child) = spawn(dir, &managed.launch) {
        managed.child = child;
        managed.ended = None;
    }
}
