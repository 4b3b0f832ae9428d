//! Queue of waiting requests, served by deficit round robin over workspaces.

use std::collections::{HashMap, VecDeque};

use balsamjunction_protocol::Priority;
use slotmap::{new_key_type, SlotMap};
use smol_str::SmolStr;

new_key_type! {
    /// Identifies a request at the gate.
    pub struct RequestKey;
    /// Identifies a workspace with waiting requests.
    struct WorkspaceKey;
}

/// Weight of a workspace for which the declaration has no exception.
pub const DEFAULT_WEIGHT: u32 = 100;
const PRIORITIES: usize = 3;

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// Deficit round robin by cost over workspaces; by priority within a workspace.
    Fair,
    /// First in, first out; the baseline of the fairness measurement.
    Fifo,
}

#[derive(Debug)]
struct WorkspaceQueue {
    name: SmolStr,
    weight: u32,
    deficit: u64,
    waiting: [VecDeque<(RequestKey, u32)>; PRIORITIES],
}

impl WorkspaceQueue {
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

/// Waiting requests of one sidecar.
#[derive(Debug)]
pub struct WaitQueue {
    discipline: Discipline,
    workspaces: SlotMap<WorkspaceKey, WorkspaceQueue>,
    by_name: HashMap<SmolStr, WorkspaceKey>,
    rotation: VecDeque<WorkspaceKey>,
    arrival_order: VecDeque<(RequestKey, SmolStr)>,
    len: usize,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            workspaces: SlotMap::with_key(),
            by_name: HashMap::new(),
            rotation: VecDeque::new(),
            arrival_order: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of a workspace.
    pub fn waiting_in(&self, workspace: &SmolStr) -> usize {
        let key = self.by_name.get(workspace);
        key.map_or(0, |key| self.workspaces[*key].len())
    }

    /// Returns the sum of the weights of all workspaces with waiting requests.
    pub fn active_weight(&self) -> u32 {
        self.workspaces.values().map(|ws| ws.weight).sum()
    }

    /// Appends a request to those of its workspace and priority.
    pub fn push(
        &mut self,
        request: RequestKey,
        workspace: &SmolStr,
        weight: u32,
        priority: Priority,
        cost: u32,
    ) {
        let key = self.get_or_insert_workspace(workspace, weight);
        self.workspaces[key].waiting[priority as usize].push_back((request, cost));
        if self.discipline == Discipline::Fifo {
            self.arrival_order.push_back((request, workspace.clone()));
        }
        self.len += 1;
    }

    fn get_or_insert_workspace(&mut self, name: &SmolStr, weight: u32) -> WorkspaceKey {
        if let Some(key) = self.by_name.get(name) {
            self.workspaces[*key].weight = weight;
            return *key;
        }
        let key = self.workspaces.insert(WorkspaceQueue {
            name: name.clone(),
            weight,
            deficit: 0,
            waiting: Default::default(),
        });
        self.by_name.insert(name.clone(), key);
        self.rotation.push_back(key);
        key
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<RequestKey> {
        match self.discipline {
            Discipline::Fair => self.pop_fair(),
            Discipline::Fifo => self.pop_oldest(),
        }
    }

    fn pop_oldest(&mut self) -> Option<RequestKey> {
        let (request, workspace) = self.arrival_order.front().cloned()?;
        self.remove(request, &workspace);
        Some(request)
    }

    fn pop_fair(&mut self) -> Option<RequestKey> {
        // The quantum covers the highest cost among the first requests, so that one round gives every
        // workspace of the default weight enough deficit for its next request.
        let heads = self
            .workspaces
            .values()
            .filter_map(WorkspaceQueue::head_cost);
        let quantum = u64::from(heads.max()?).max(1);
        loop {
            let key = *self.rotation.front()?;
            let workspace = &mut self.workspaces[key];
            let cost = u64::from(workspace.head_cost()?);
            if workspace.deficit >= cost {
                workspace.deficit -= cost;
                let request = workspace.pop();
                self.len -= 1;
                self.remove_if_empty(key);
                return request;
            }
            let share = quantum * u64::from(workspace.weight) / u64::from(DEFAULT_WEIGHT);
            workspace.deficit += share.max(1);
            self.rotation.rotate_left(1);
        }
    }

    /// Removes a workspace without waiting requests, together with its unused deficit.
    fn remove_if_empty(&mut self, key: WorkspaceKey) {
        if self.workspaces[key].len() > 0 {
            return;
        }
        if let Some(workspace) = self.workspaces.remove(key) {
            self.by_name.remove(&workspace.name);
        }
        self.rotation.retain(|other| *other != key);
    }

    /// Removes a request that is no longer waiting; returns whether it was in the queue.
    pub fn remove(&mut self, request: RequestKey, workspace: &SmolStr) -> bool {
        self.arrival_order.retain(|(other, _)| *other != request);
        let Some(key) = self.by_name.get(workspace).copied() else {
            return false;
        };
        let before = self.workspaces[key].len();
        for queue in &mut self.workspaces[key].waiting {
            queue.retain(|(other, _)| *other != request);
        }
        let removed = before - self.workspaces[key].len();
        self.len -= removed;
        self.remove_if_empty(key);
        removed > 0
    }

    /// Makes room by removing the newest request, lowest priority first, of the workspace with the
    /// largest backlog relative to its weight.
    ///
    /// Returns `None` if no workspace has a larger relative backlog than `arriving` would have, and
    /// always for [`Discipline::Fifo`].
    pub fn evict_for(&mut self, arriving: &SmolStr, weight: u32) -> Option<RequestKey> {
        let own_backlog = (self.waiting_in(arriving) as u64 + 1) * u64::from(DEFAULT_WEIGHT)
            / u64::from(weight.max(1));
        let weighted_backlog = |ws: &WorkspaceQueue| {
            ws.len() as u64 * u64::from(DEFAULT_WEIGHT) / u64::from(ws.weight.max(1))
        };
        let largest = self
            .workspaces
            .iter()
            .max_by_key(|(_, ws)| weighted_backlog(ws));
        let (key, workspace) = largest?;
        if self.discipline == Discipline::Fifo || weighted_backlog(workspace) <= own_backlog {
            return None;
        }
        let request = self.workspaces[key].pop_newest();
        self.len -= 1;
        self.remove_if_empty(key);
        request
    }
}
