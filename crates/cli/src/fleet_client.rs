//! Questions to the processes of the system.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use balsamjunction_protocol::{
    header, paths, PeerStatus, PullRequest, PullResponse, PROTOCOL_VERSION,
};
use balsamjunction_settings::{read_fleet, Fleet};
use futures_util::future::join_all;
use serde::de::DeserializeOwned;
use smol_str::{format_smolstr, SmolStr};

use crate::error::CliError;

/// A process that does not answer in this time counts as unreachable.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The longest answer: a declaration and a membership list.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// A process and what it says of itself, if it answers.
pub struct ProcessStatus {
    /// Its host.
    pub host: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// What it says.
    pub status: Option<PeerStatus>,
}

/// Asks processes of the system.
pub struct FleetClient {
    client: Client,
}

impl Default for FleetClient {
    fn default() -> Self {
        let client = balsamjunction_client::new_client(None);
        Self { client }
    }
}

fn unreachable(address: SocketAddr, why: &dyn std::fmt::Display) -> CliError {
    let why = format_smolstr!("{why}");
    CliError::Unreachable { address, why }
}

impl FleetClient {
    /// Reads a JSON answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        let request = self.client.get(format!("http://{address}{path}"));
        let response = request.timeout(TIMEOUT).send().await;
        let mut response = response.map_err(|e| unreachable(address, &e))?;
        let body = response.body().limit(MAX_BYTES).await;
        let body = body.map_err(|e| unreachable(address, &e))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Everything that a process knows of the fleet.
    async fn pull(&self, address: SocketAddr) -> Result<PullResponse, CliError> {
        let question = header::to_bytes(&PullRequest {
            v: PROTOCOL_VERSION,
            ..PullRequest::default()
        })?;
        let request = self.client.post(format!("http://{address}{}", paths::PULL));
        let response = request.timeout(TIMEOUT).send_body(question).await;
        let mut response = response.map_err(|e| unreachable(address, &e))?;
        let body = response.body().limit(MAX_BYTES).await;
        let body = body.map_err(|e| unreachable(address, &e))?;
        Ok(header::from_compressed(&body, MAX_BYTES as u64)?)
    }

    /// The declaration in force and every member with its status.
    pub async fn fleet(
        &self,
        address: SocketAddr,
    ) -> Result<(Fleet, Vec<ProcessStatus>), CliError> {
        let answer = self.pull(address).await?;
        let document = answer.fleet.ok_or(CliError::NoDeclaration { address })?;
        let fleet = read_fleet(document.text.as_bytes());
        let fleet = fleet.map_err(|_| CliError::NoDeclaration { address })?;
        let members = answer.members.unwrap_or_default().members;
        let statuses = members.iter().map(|member| async {
            let address: SocketAddr = member.address.parse().ok()?;
            self.get(address, paths::STATUS).await.ok()
        });
        let statuses = join_all(statuses).await;
        let processes = members
            .iter()
            .zip(statuses)
            .map(|(member, status)| ProcessStatus {
                host: member.host.clone(),
                data_centre: member.data_centre.clone(),
                status,
            });
        let mut processes: Vec<ProcessStatus> = processes.collect();
        processes.sort_by(|a, b| (&a.data_centre, &a.host).cmp(&(&b.data_centre, &b.host)));
        Ok((fleet, processes))
    }
}
