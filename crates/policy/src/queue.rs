//! Waiting requests, served by deficit round robin over workspaces.

use std::collections::{HashMap, VecDeque};

use balsamjunction_protocol::Priority;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

new_key_type! {
    /// One request at the gate.
    pub struct RequestKey;
    /// One workspace with waiting requests.
    struct WorkspaceKey;
}

/// The weight of a workspace that no exception favours.
pub const DEFAULT_WEIGHT: u32 = 100;
const PRIORITIES: usize = 3;

/// The order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// Deficit round robin over workspaces by cost, priorities within one.
    Fair,
    /// First in, first out; the baseline of the fairness measurement.
    Fifo,
}

#[derive(Debug)]
struct Workspace {
    name: SmolStr,
    weight: u32,
    deficit: u64,
    waiting: [VecDeque<(RequestKey, u32)>; PRIORITIES],
}

impl Workspace {
    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    fn head_cost(&self) -> Option<u32> {
        let mut queues = self.waiting.iter();
        queues.find_map(|queue| queue.front().map(|(_, cost)| *cost))
    }

    fn pop(&mut self) -> Option<RequestKey> {
        let mut queues = self.waiting.iter_mut();
        queues.find_map(|queue| queue.pop_front().map(|(key, _)| key))
    }

    fn pop_newest(&mut self) -> Option<RequestKey> {
        let mut queues = self.waiting.iter_mut().rev();
        queues.find_map(|queue| queue.pop_back().map(|(key, _)| key))
    }
}

/// The waiting requests of one sidecar.
#[derive(Debug)]
pub struct WaitQueue {
    discipline: Discipline,
    arena: SlotMap<WorkspaceKey, Workspace>,
    by_name: HashMap<SmolStr, WorkspaceKey>,
    turns: VecDeque<WorkspaceKey>,
    arrivals: VecDeque<(RequestKey, SmolStr)>,
    len: usize,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            arena: SlotMap::with_key(),
            by_name: HashMap::new(),
            turns: VecDeque::new(),
            arrivals: VecDeque::new(),
            len: 0,
        }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many requests of a workspace wait.
    pub fn waiting_in(&self, workspace: &SmolStr) -> usize {
        let key = self.by_name.get(workspace);
        key.map_or(0, |key| self.arena[*key].len())
    }

    /// The weights of the workspaces that wait, summed.
    pub fn active_weight(&self) -> u32 {
        self.arena.values().map(|ws| ws.weight).sum()
    }

    /// Adds a request behind the others of its workspace and priority.
    pub fn push(
        &mut self,
        request: RequestKey,
        workspace: &SmolStr,
        weight: u32,
        priority: Priority,
        cost: u32,
    ) {
        let key = self.workspace(workspace, weight);
        self.arena[key].waiting[priority as usize].push_back((request, cost));
        if self.discipline == Discipline::Fifo {
            self.arrivals.push_back((request, workspace.clone()));
        }
        self.len += 1;
    }

    fn workspace(&mut self, name: &SmolStr, weight: u32) -> WorkspaceKey {
        if let Some(key) = self.by_name.get(name) {
            self.arena[*key].weight = weight;
            return *key;
        }
        let key = self.arena.insert(Workspace {
            name: name.clone(),
            weight,
            deficit: 0,
            waiting: Default::default(),
        });
        self.by_name.insert(name.clone(), key);
        self.turns.push_back(key);
        key
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestKey> {
        match self.discipline {
            Discipline::Fair => self.pop_fair(),
            Discipline::Fifo => self.pop_oldest(),
        }
    }

    fn pop_oldest(&mut self) -> Option<RequestKey> {
        let (request, workspace) = self.arrivals.front().cloned()?;
        self.remove(request, &workspace);
        Some(request)
    }

    fn pop_fair(&mut self) -> Option<RequestKey> {
        // The quantum covers the dearest head, so that one round always serves somebody.
        let heads = self.arena.values().filter_map(Workspace::head_cost);
        let quantum = u64::from(heads.max()?).max(1);
        loop {
            let key = *self.turns.front()?;
            let workspace = &mut self.arena[key];
            let cost = u64::from(workspace.head_cost()?);
            if workspace.deficit >= cost {
                workspace.deficit -= cost;
                let request = workspace.pop();
                self.len -= 1;
                self.forget_if_empty(key);
                return request;
            }
            let share = quantum * u64::from(workspace.weight) / u64::from(DEFAULT_WEIGHT);
            workspace.deficit += share.max(1);
            self.turns.rotate_left(1);
        }
    }

    /// Drops a workspace without waiting requests, together with its unused deficit.
    fn forget_if_empty(&mut self, key: WorkspaceKey) {
        if self.arena[key].len() > 0 {
            return;
        }
        if let Some(workspace) = self.arena.remove(key) {
            self.by_name.remove(&workspace.name);
        }
        self.turns.retain(|other| *other != key);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, request: RequestKey, workspace: &SmolStr) -> bool {
        self.arrivals.retain(|(other, _)| *other != request);
        let Some(key) = self.by_name.get(workspace).copied() else {
            return false;
        };
        let before = self.arena[key].len();
        for queue in &mut self.arena[key].waiting {
            queue.retain(|(other, _)| *other != request);
        }
        let removed = before - self.arena[key].len();
        self.len -= removed;
        self.forget_if_empty(key);
        removed > 0
    }

    /// Makes room by taking the newest request of the workspace that waits most for its weight.
    ///
    /// Gives nothing if that is `arriving` itself: then the arriving request has no better claim.
    pub fn evict_for(&mut self, arriving: &SmolStr, weight: u32) -> Option<RequestKey> {
        let own = (self.waiting_in(arriving) as u64 + 1) * u64::from(DEFAULT_WEIGHT)
            / u64::from(weight.max(1));
        let claim = |ws: &Workspace| {
            ws.len() as u64 * u64::from(DEFAULT_WEIGHT) / u64::from(ws.weight.max(1))
        };
        let longest = self.arena.iter().max_by_key(|(_, ws)| claim(ws));
        let (key, workspace) = longest?;
        if self.discipline == Discipline::Fifo || claim(workspace) <= own {
            return None;
        }
        let request = self.arena[key].pop_newest();
        self.len -= 1;
        self.forget_if_empty(key);
        request
    }
}
