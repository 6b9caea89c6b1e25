//! Shares of one zone's servers, moved toward their targets in bounded steps. Draining, unhealthy and silent servers lose their
//! shares at once.

use super::capacity::{total_capacity, Candidate};
use super::per_incarnation::PerIncarnation;
use super::{ServerShare, ShareExplanation, ShareLimit};
use std::collections::HashSet;

/// Relative difference from the target below which a share does not move: about the jitter of reports.
const DEADBAND: f64 = 0.05;
/// Maximum move of a share per second, as a fraction of the share or of the mean share: a slow machine is noticed within one or
/// two seconds.
pub(super) const MAX_SHARE_STEP: f64 = 0.5;
/// Maximum fraction of a zone's load that moves per second, except away from excluded servers: callers' connections follow about as
/// fast.
pub(super) const MAX_ZONE_STEP: f64 = 0.15;
/// Minimum time between moves in opposite directions, seconds: longer than the effect of a move takes to be reported.
const REVERSAL_DELAY: f64 = 1.0;
/// Smallest change of a share that counts as a move; less is rounding.
const MIN_MOVE: f64 = 1e-9;
/// Requests that one proxy may have in flight at a server, as a multiple of the server's concurrency limit: many proxies share the
/// limit, and none knows the others' requests.
const PROXY_LIMIT_FACTOR: f64 = 4.0;
/// Maximum number of requests that one proxy may have in flight at a server: beyond any server's limit, within what proxies accept.
const MAX_PROXY_REQUESTS: f64 = 1e6;

/// A share in the last plan and its last move.
#[derive(Clone, Copy, Debug, Default)]
struct LastMove {
    weight: f64,
    upward: bool,
    at: f64,
}

/// Move of a server's share between two plans.
struct Step {
    /// Share before the move, after the shares of excluded servers are redistributed.
    base: f64,
    delta: f64,
    limit: ShareLimit,
    excluded: bool,
}

impl Step {
    /// Returns whether the share does not move and can compensate the moves of others.
    fn is_unchanged(&self) -> bool {
        self.delta == 0.0 && !self.excluded
    }

    /// Returns whether the share moves toward its target rather than to compensate others.
    fn moves_toward_target(&self) -> bool {
        self.delta != 0.0 && self.limit != ShareLimit::Compensating
    }
}

/// A server's new share.
struct NewShare {
    weight: f64,
    limit: ShareLimit,
    toward_target: bool,
}

impl From<Step> for NewShare {
    fn from(step: Step) -> NewShare {
        let weight = (step.base + step.delta).max(0.0);
        NewShare { weight, limit: step.limit, toward_target: step.moves_toward_target() }
    }
}

/// Moves shares from one plan to the next.
#[derive(Debug, Default)]
pub(super) struct Rebalancer {
    last_moves: PerIncarnation<LastMove>,
}

fn target_weight(server: &Candidate, total: f64) -> f64 {
    if !server.is_excluded() && total > 0.0 {
        server.effective_capacity / total
    } else {
        0.0
    }
}

impl Rebalancer {
    /// Appends the new shares of one zone's servers. `elapsed` is the time since the last plan in seconds, none for the first.
    pub(super) fn rebalance(
        &mut self,
        now: f64,
        elapsed: Option<f64>,
        servers: &[&Candidate],
        shares: &mut Vec<ServerShare>,
    ) {
        let total = total_capacity(servers);
        // A restarted server starts without a share.
        let last_moves: Vec<LastMove> = servers
            .iter()
            .map(|server| self.last_moves.get(server.view.report).unwrap_or_default())
            .collect();
        let new_shares = match elapsed {
            Some(elapsed) => moved_shares(now, elapsed, servers, &last_moves, total),
            None => None,
        };
        // Without previous shares, servers get their target shares.
        let new_shares = new_shares.unwrap_or_else(|| target_shares(servers, total));
        for ((server, last), new) in servers.iter().zip(&last_moves).zip(new_shares) {
            self.record_move(now, server, last, &new);
            shares.push(server_share(server, target_weight(server, total), &new));
        }
    }

    fn record_move(&mut self, now: f64, server: &Candidate, last: &LastMove, new: &NewShare) {
        let gain = new.weight - last.weight;
        let moved = new.toward_target && gain.abs() > MIN_MOVE;
        let last_move = match moved {
            true => LastMove { weight: new.weight, upward: gain > 0.0, at: now },
            false => LastMove { weight: new.weight, ..*last },
        };
        self.last_moves.insert(server.view.report, last_move);
    }

    /// Removes the state of all other servers.
    pub(super) fn retain(&mut self, instances: &HashSet<&str>) {
        self.last_moves.retain(instances);
    }
}

fn server_share(server: &Candidate, target_weight: f64, new: &NewShare) -> ServerShare {
    let report = server.view.report;
    let max_requests = PROXY_LIMIT_FACTOR * report.concurrency_limit;
    ServerShare {
        instance: report.instance.clone(),
        address: report.address,
        zone: report.zone.clone(),
        weight: new.weight,
        max_requests: max_requests.ceil().clamp(1.0, MAX_PROXY_REQUESTS) as u32,
        explanation: ShareExplanation {
            reported_capacity: server.reported_capacity,
            effective_capacity: server.effective_capacity,
            confidence: server.view.confidence,
            target_weight,
            limited_by: server.exclusion.unwrap_or(new.limit),
        },
    }
}

fn target_shares(servers: &[&Candidate], total: f64) -> Vec<NewShare> {
    let share = |server: &&Candidate| NewShare {
        weight: target_weight(server, total),
        limit: ShareLimit::None,
        toward_target: false,
    };
    servers.iter().map(share).collect()
}

/// Returns the shares moved by a bounded step toward their targets; none if no eligible server had a share.
fn moved_shares(
    now: f64,
    elapsed: f64,
    servers: &[&Candidate],
    last_moves: &[LastMove],
    total: f64,
) -> Option<Vec<NewShare>> {
    let eligible = servers.iter().zip(last_moves).filter(|(server, _)| !server.is_excluded());
    let remaining_weight: f64 = eligible.map(|(_, last)| last.weight).sum();
    if remaining_weight > 0.0 {
        let mut steps = steps(now, elapsed, servers, last_moves, total, remaining_weight);
        balance(&mut steps, MAX_ZONE_STEP * elapsed);
        Some(steps.into_iter().map(NewShare::from).collect())
    } else {
        None
    }
}

/// Returns each server's step before the steps are balanced. `remaining_weight` is the total last weight of the
/// eligible servers.
fn steps(
    now: f64,
    elapsed: f64,
    servers: &[&Candidate],
    last_moves: &[LastMove],
    total: f64,
    remaining_weight: f64,
) -> Vec<Step> {
    let mean = 1.0 / servers.len().max(1) as f64;
    let step = |(server, last): (&&Candidate, &LastMove)| {
        // The shares of excluded servers are redistributed proportionally at once.
        let base = if server.is_excluded() { 0.0 } else { last.weight / remaining_weight };
        let target = target_weight(server, total);
        let difference = target - base;
        let max_step = MAX_SHARE_STEP * elapsed * base.max(mean);
        let reverses = last.at > 0.0 && last.upward != (difference > 0.0) && now - last.at < REVERSAL_DELAY;
        // A server without a share always moves, however small its target.
        let within_deadband = difference.abs() <= DEADBAND * base.max(target) && base > 0.0;
        let (delta, limit) = match () {
            _ if server.is_excluded() || difference == 0.0 => (0.0, ShareLimit::None),
            _ if within_deadband => (0.0, ShareLimit::NearTarget),
            _ if reverses => (0.0, ShareLimit::ReversedRecently),
            _ if difference.abs() > max_step => (difference.clamp(-max_step, max_step), ShareLimit::StepSize),
            _ => (difference, ShareLimit::None),
        };
        Step { base, delta, limit, excluded: server.is_excluded() }
    };
    servers.iter().zip(last_moves).map(step).collect()
}

/// Returns the totals of the upward and of the downward moves.
fn total_up_and_down(steps: &[Step]) -> (f64, f64) {
    let up: f64 = steps.iter().map(|step| step.delta).filter(|delta| *delta > 0.0).sum();
    let net: f64 = steps.iter().map(|step| step.delta).sum();
    (up, up - net)
}

/// Limits the total move and lets the unchanged shares compensate the difference, so that the shares sum to 1.
fn balance(steps: &mut [Step], max_move: f64) {
    limit_total_move(steps, max_move);
    let (up, down) = total_up_and_down(steps);
    let compensating_weight: f64 =
        steps.iter().filter(|step| step.is_unchanged()).map(|step| step.base).sum();
    if compensating_weight > 0.0 && compensating_weight > up - down {
        for step in steps.iter_mut().filter(|step| step.is_unchanged()) {
            step.delta = (down - up) * step.base / compensating_weight;
            step.limit = ShareLimit::Compensating;
        }
        return;
    }
    // Too little unchanged weight to compensate: the larger total is scaled down to the smaller.
    let matched = up.min(down);
    for step in steps {
        if step.delta > 0.0 {
            step.delta *= matched / up;
        } else if step.delta < 0.0 {
            step.delta *= matched / down;
        }
    }
}

fn limit_total_move(steps: &mut [Step], max_move: f64) {
    let (up, down) = total_up_and_down(steps);
    let total = up.max(down);
    if total <= max_move {
        return;
    }
    for step in steps.iter_mut().filter(|step| step.delta != 0.0) {
        step.delta *= max_move / total;
        if step.limit == ShareLimit::None {
            step.limit = ShareLimit::ZoneStepSize;
        }
    }
}
