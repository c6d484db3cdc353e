//! Borrows retries from other daemons and lends to them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use tokio::time::Instant;
use wisteriahitch_types::ServiceName;
use wisteriahitch_wire::connection_pool::{Connection, open_stream};
use wisteriahitch_wire::http_client::HttpError;

use super::shared::Shared;
use crate::decide::retry_lending::{RetrySearch, is_usable};
use crate::observe::Event;

/// Prefix of the paths under which peers lend retries; the name of the service follows.
const RETRIES_PATH: &str = "/v1/retries/";

/// Timeout for connecting to a daemon and its answer together. One that was just killed is still on
/// the list and never answers, and another one must be asked in the time of the search.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns whether another daemon could be asked for a retry now.
pub(super) fn may_borrow(shared: &Shared, service: &ServiceName) -> bool {
    // Without a share of the requests no retry is ever saved, by any daemon.
    let is_allowed = shared.settings.retry.ratio > 0.0 && shared.peers.daemon_count() > 1;
    is_allowed && shared.budgets.may_search(service, shared.now())
}

/// Asks other daemons for a retry of a call that must end by `deadline`, and returns whether one of
/// them has lent one. It must be used at once.
pub(super) async fn borrow_retry(
    shared: &Shared,
    service: &ServiceName,
    deadline: Instant,
) -> bool {
    let Some(search) = OpenSearch::begin(shared, service) else {
        count(shared, "not_sought");
        return false;
    };
    let outcome = search.run(deadline).await;
    count(shared, outcome);
    outcome == "borrowed"
}

/// Answers a daemon that asks for a retry. Returns `None` if there is none to lend.
pub(super) fn answer_borrower(shared: &Shared, path: &str, from: IpAddr) -> Option<Bytes> {
    let service = path.strip_prefix(RETRIES_PATH)?;
    let now = shared.now();
    let is_member = match from {
        IpAddr::V4(ip) => shared.peers.table().member_phase(ip, now).is_some(),
        IpAddr::V6(_) => false,
    };
    let config = shared.site.config();
    let service = service.parse::<ServiceName>().ok().filter(|service| {
        let config = config.as_ref();
        config.is_some_and(|config| config.services.contains_key(service))
    });
    let Some(service) = service.filter(|_| is_member) else {
        count(shared, "refused");
        shared.log.write(&Event::Failure {
            what: "lending a retry",
            detail: format!("{from} is no known member, or the service isn't configured"),
        });
        return None;
    };
    let is_lent = shared.budgets.lend(&service, now);
    count(shared, if is_lent { "lent" } else { "none_to_lend" });
    is_lent.then(|| Bytes::from_static(b"lent"))
}

fn count(shared: &Shared, outcome: &str) {
    let counter = &shared.metrics.retry_lending;
    counter.with_label_values(&[outcome]).inc();
}

/// A search for a retry. It ends when it is dropped, also with its call.
struct OpenSearch<'a> {
    shared: &'a Shared,
    service: &'a ServiceName,
    search: RetrySearch,
    is_in_vain: bool,
}

impl<'a> OpenSearch<'a> {
    /// Begins a search if that is allowed now and there are other daemons.
    fn begin(shared: &'a Shared, service: &'a ServiceName) -> Option<Self> {
        if !may_borrow(shared, service) {
            return None;
        }
        let now = shared.now();
        let me = shared.settings.ip;
        let members = shared.peers.table().entries(now);
        let others = members.iter().map(|member| member.ip);
        let others: Vec<Ipv4Addr> = others.filter(|ip| *ip != me).collect();
        if others.is_empty() || !shared.budgets.begin_search(service, now) {
            return None;
        }
        Some(Self {
            shared,
            service,
            search: RetrySearch::new(others, now, &mut rand::rng()),
            is_in_vain: false,
        })
    }

    /// Asks one daemon after the other, and returns the outcome.
    async fn run(mut self, deadline: Instant) -> &'static str {
        loop {
            let asked_at = self.shared.now();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return "no_time_left";
            }
            let Some(donor) = self.search.next_donor(asked_at) else {
                // Daemons that don't answer take the time, and say nothing of the others.
                self.is_in_vain = self.search.has_asked_all();
                return "in_vain";
            };
            let timeout = left.min(self.search.time_left(asked_at).into());
            let asked = ask(self.shared, donor, self.service);
            let answer = tokio::time::timeout(timeout.min(ASK_TIMEOUT), asked).await;
            // A daemon that doesn't answer in time is passed over like one without a retry.
            if !matches!(answer, Ok(Ok(true))) {
                continue;
            }
            if is_usable(asked_at, self.shared.now()) {
                return "borrowed";
            }
            count(self.shared, "too_late");
        }
    }
}

impl Drop for OpenSearch<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let budgets = &self.shared.budgets;
        budgets.end_search(self.service, self.is_in_vain, now);
    }
}

/// Asks a daemon for a retry. One on the version before answers that it doesn't know the path.
async fn ask(shared: &Shared, donor: Ipv4Addr, service: &ServiceName) -> Result<bool, HttpError> {
    let to = SocketAddr::from((donor, shared.settings.listen.peer_port));
    let request = Request::post(format!("{RETRIES_PATH}{service}"))
        .header(HOST, to.to_string())
        .body(Bytes::new());
    let Ok(request) = request else {
        return Ok(false);
    };
    // The donor recognizes a member by its address.
    let from = IpAddr::V4(shared.settings.ip);
    let stream = open_stream(to, Some(from), ASK_TIMEOUT).await?;
    let mut connection = Connection::over_stream(stream, to).await?;
    let response = connection.send_within(request, ASK_TIMEOUT).await?;
    Ok(response.status() == StatusCode::OK)
}
