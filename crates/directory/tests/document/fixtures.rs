//! Declarations, changes of them, and transfers.

use balsamjunction_directory::{
    CallerLimits, Declaration, DeclarationId, DocumentError, Download, Encoding, EngineProfile,
    Origin, Part, Progress, Route, RouteKind, ServedModel, Service, Target, Workspace,
};
use proptest::{collection::vec, prelude::*, sample::Index};
use smol_str::{format_smolstr, SmolStr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum length of the parts of a transfer, in bytes, as between gateways.
pub const PART_BYTES: usize = 16 * 1024;

/// A number that looks random and depends on `n` and what it is for.
pub fn scattered(what: u64, n: u64) -> u64 {
    xxh3_64_with_seed(&n.to_le_bytes(), what)
}

fn random_name(prefix: &str, what: u64, n: u64) -> SmolStr {
    format_smolstr!("{prefix}-{:016x}", scattered(what, n))
}

/// The `n`-th route, with random names as in a real configuration.
pub fn route(n: u64) -> Route {
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Streaming,
    ];
    let target = |share: u64| Target {
        service: service(scattered(share, n) % 20).name,
        weight: (scattered(share, n) / 20 % 100) as u32,
    };
    Route {
        name: random_name("route", 1, n),
        host: format_smolstr!("{}.example", random_name("host", 2, n)),
        prefix: format_smolstr!("/{}/", random_name("path", 3, n)),
        kind: kinds[(scattered(4, n) % 3) as usize],
        timeout_ms: 1_000 + scattered(5, n) % 60 * 500,
        target_latency_ms: 100 + scattered(6, n) % 40 * 25,
        max_pause_ms: scattered(7, n).is_multiple_of(2).then_some(400),
        priority: (scattered(8, n) % 4) as u8,
        targets: (0..=scattered(9, n) % 2).map(|k| target(10 + k)).collect(),
        max_attempts: 1 + (scattered(12, n) % 3) as u32,
        public: scattered(13, n).is_multiple_of(8),
        resumable: scattered(14, n).is_multiple_of(2),
        allowed_regions: vec!["addis".into(); (scattered(15, n) % 2) as usize],
        caller_patience_ms: scattered(16, n).is_multiple_of(4).then_some(2_500),
    }
}

/// The `n`-th service.
pub fn service(n: u64) -> Service {
    let engine = EngineProfile {
        slots: 16,
        step_ms: 9.27 + n as f64 / 7.0,
        step_ms_per_request: 0.1,
        step_ms_per_context_k: 0.3,
        prefill_tokens_per_ms: 20.7,
        steps_per_pass: 5,
        mean_prompt_tokens: 979.0,
        mean_output_tokens: 92.0,
        layers: 16,
        models: vec![ServedModel {
            name: random_name("model", 20, n),
            load_ms: 300,
        }],
    };
    let origin = Origin {
        address: "10.0.0.3:8006".into(),
        max_connections: 48,
        link_kbit_s: 9_900,
    };
    Service {
        name: random_name("service", 21, n),
        max_connections: 294,
        cold_start_ms: 3_000,
        cold_requests_per_s: 28.0,
        engine: (!n.is_multiple_of(5)).then_some(engine),
        origin: n.is_multiple_of(10).then_some(origin),
    }
}

/// The `n`-th workspace, with one to four API keys.
pub fn workspace(n: u64) -> Workspace {
    let key = |k: u64| {
        let high = scattered(30 + k, n);
        format_smolstr!("key-{high:016x}{:016x}", scattered(high, n))
    };
    Workspace {
        name: random_name("workspace", 40, n),
        api_keys: (0..1 + scattered(41, n) % 4).map(key).collect(),
        priority: scattered(42, n).is_multiple_of(3).then_some(1),
        allowed_regions: vec!["berbera".into(); (scattered(43, n) % 2) as usize],
    }
}

/// A configuration of the given routes with 20 services and 60 workspaces.
pub fn declaration(version: u64, routes: impl IntoIterator<Item = u64>) -> Declaration {
    Declaration {
        version,
        routes: routes.into_iter().map(route).collect(),
        services: (0..20).map(service).collect(),
        workspaces: (0..60).map(workspace).collect(),
        limits: CallerLimits::default(),
        empty_workspace_list: false,
    }
}

pub fn id(declaration: &Declaration) -> DeclarationId {
    DeclarationId::of(declaration).expect("a declaration has an id")
}

pub fn whole(declaration: &Declaration) -> Encoding {
    Encoding::whole(declaration).expect("a declaration has an encoding")
}

pub fn difference(base: &Declaration, new: &Declaration) -> Encoding {
    Encoding::difference((base, id(base).digest), new).expect("two declarations have a difference")
}

/// A single part with all bytes of an encoding.
pub fn single_part(encoding: &Encoding) -> Part {
    let part = encoding.part(0, usize::MAX);
    part.expect("an encoding is not empty")
}

/// Continues a download from one source to the end; returns the number of bytes that were transferred.
pub fn fetch(
    download: &mut Download,
    source: &Encoding,
    max_bytes: usize,
) -> Result<usize, DocumentError> {
    let mut transferred = 0;
    while let Some(part) = source.part(download.offset(), max_bytes) {
        transferred += part.bytes.len();
        if download.accept(part)? == Progress::Complete {
            break;
        }
    }
    Ok(transferred)
}

/// Transfers an encoding in parts and decodes it.
pub fn transfer(
    source: &Encoding,
    base: Option<&Declaration>,
    max_bytes: usize,
) -> Result<Declaration, DocumentError> {
    let mut download = Download::new(source.id);
    fetch(&mut download, source, max_bytes)?;
    download.finish(base)
}

/// A change of a list.
#[derive(Clone, Debug)]
enum Edit {
    Add(Index, u64),
    Repeat(Index, Index),
    Remove(Index),
    Move(Index, Index),
    Change(Index),
    Reverse,
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        (any::<Index>(), 100u64..200).prop_map(|(at, n)| Edit::Add(at, n)),
        any::<(Index, Index)>().prop_map(|(from, to)| Edit::Repeat(from, to)),
        any::<Index>().prop_map(Edit::Remove),
        any::<(Index, Index)>().prop_map(|(from, to)| Edit::Move(from, to)),
        any::<Index>().prop_map(Edit::Change),
        Just(Edit::Reverse),
    ]
}

impl Edit {
    fn apply<T: Clone>(&self, list: &mut Vec<T>, make: impl Fn(u64) -> T, change: impl Fn(&mut T)) {
        match self {
            Self::Add(at, n) => list.insert(at.index(list.len() + 1), make(*n)),
            Self::Reverse => list.reverse(),
            _ if list.is_empty() => {}
            Self::Repeat(from, to) => {
                let item = list[from.index(list.len())].clone();
                list.insert(to.index(list.len() + 1), item);
            }
            Self::Remove(at) => drop(list.remove(at.index(list.len()))),
            Self::Move(from, to) => {
                let item = list.remove(from.index(list.len()));
                list.insert(to.index(list.len() + 1), item);
            }
            Self::Change(at) => {
                let index = at.index(list.len());
                change(&mut list[index]);
            }
        }
    }
}

fn lists() -> impl Strategy<Value = Declaration> {
    let numbers = || vec(0u64..30, 0..40);
    let limits = (1u64..9).prop_map(|n| CallerLimits {
        idle_timeout_ms: n * 1_000,
        ..CallerLimits::default()
    });
    let versions = any::<(u64, bool)>();
    (versions, numbers(), numbers(), numbers(), limits).prop_map(
        |((version, closed), routes, services, workspaces, limits)| Declaration {
            version,
            routes: routes.into_iter().map(route).collect(),
            services: services.into_iter().map(service).collect(),
            empty_workspace_list: closed && workspaces.is_empty(),
            workspaces: workspaces.into_iter().map(workspace).collect(),
            limits,
        },
    )
}

/// A declaration and what changes made of it: items added, repeated, removed, moved and changed, and keys taken.
pub fn changed_declaration() -> impl Strategy<Value = (Declaration, Declaration)> {
    let edits = || vec(edit(), 0..8);
    (lists(), any::<u64>(), edits(), edits(), edits(), 1u64..9).prop_map(
        |(base, version, routes, services, workspaces, limit)| {
            let mut new = base.clone();
            new.version = version;
            new.limits.header_timeout_ms = limit * 1_000;
            for edit in routes {
                edit.apply(&mut new.routes, route, |route| route.timeout_ms += 1);
            }
            for edit in services {
                edit.apply(&mut new.services, service, |service| {
                    service.cold_requests_per_s += 0.5;
                });
            }
            for edit in workspaces {
                edit.apply(&mut new.workspaces, workspace, |workspace| {
                    workspace.api_keys.pop();
                });
            }
            new.empty_workspace_list = new.workspaces.is_empty() && !base.empty_workspace_list;
            (base, new)
        },
    )
}
