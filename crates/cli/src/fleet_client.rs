//! Queries the inner addresses of the fleet's processes.

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

/// Timeout of a request; a process that does not answer within it counts as unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest accepted response: a declaration and a membership list.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A process of the membership list with its status.
pub struct ProcessStatus {
    /// Name of its host.
    pub host: SmolStr,
    /// Name of its data centre.
    pub data_centre: SmolStr,
    /// The status it reports; absent if it cannot be queried.
    pub status: Option<PeerStatus>,
}

/// A client of the inner addresses of the fleet's processes.
pub struct FleetClient {
    client: Client,
}

impl Default for FleetClient {
    fn default() -> Self {
        let client = balsamjunction_client::new_client(None);
        Self { client }
    }
}

fn unreachable_error(address: SocketAddr, why: &dyn std::fmt::Display) -> CliError {
    let reason = format_smolstr!("{why}");
    CliError::Unreachable { address, reason }
}

/// The declaration in a process's state.
fn in_force(address: SocketAddr, state: &PullResponse) -> Result<Fleet, CliError> {
    let document = state.fleet.as_ref();
    let document = document.ok_or(CliError::NoDeclaration { address })?;
    read_fleet(document.text.as_bytes()).map_err(|_| CliError::NoDeclaration { address })
}

impl FleetClient {
    /// Sends a GET request and parses the JSON response.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CliError> {
        let request = self.client.get(format!("http://{address}{path}"));
        let response = request.timeout(REQUEST_TIMEOUT).send().await;
        let mut response = response.map_err(|e| unreachable_error(address, &e))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| unreachable_error(address, &e))?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Fetches the declaration and the membership list that a process has.
    async fn pull(&self, address: SocketAddr) -> Result<PullResponse, CliError> {
        let request_body = header::to_bytes(&PullRequest {
            v: PROTOCOL_VERSION,
            ..PullRequest::default()
        })?;
        let request = self.client.post(format!("http://{address}{}", paths::PULL));
        let response = request
            .timeout(REQUEST_TIMEOUT)
            .send_body(request_body)
            .await;
        let mut response = response.map_err(|e| unreachable_error(address, &e))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| unreachable_error(address, &e))?;
        Ok(header::from_compressed(&body, MAX_RESPONSE_BYTES as u64)?)
    }

    /// Fetches the declaration that a process has in force.
    pub async fn fetch_declaration(&self, address: SocketAddr) -> Result<Fleet, CliError> {
        in_force(address, &self.pull(address).await?)
    }

    /// Fetches the declaration that a process has in force, and the status of every member of its
    /// membership list, sorted by data centre and host.
    pub async fn fetch_fleet(
        &self,
        address: SocketAddr,
    ) -> Result<(Fleet, Vec<ProcessStatus>), CliError> {
        let state = self.pull(address).await?;
        let fleet = in_force(address, &state)?;
        let members = state.members.unwrap_or_default().members;
        let statuses = members.iter().map(|member| async {
            let address: SocketAddr = member.address.parse().ok()?;
            self.get_json(address, paths::STATUS).await.ok()
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
