//! Periodic checks of the endpoint table: missing reports, ejections that end, slow endpoints.

use std::collections::HashMap;

use wisteriahitch_types::{ServiceName, TimeUs};

use super::{EndpointState, EndpointStateEvent, EndpointTable, Slowness};

/// Minimum number of endpoints with enough samples for a service to have a median.
const MIN_ENDPOINTS_FOR_MEDIAN: usize = 2;

impl EndpointTable {
    /// Marks endpoints with missing reports as suspect, ends ejections and ejects slow endpoints.
    pub fn tick(&mut self, now: TimeUs) {
        self.mark_silent_suspect(now);
        self.end_ejections(now);
        if now.since(self.last_scan_at_us) >= self.options.outlier_scan_interval_us {
            self.last_scan_at_us = now;
            self.eject_slow_endpoints(now);
        }
    }

    fn mark_silent_suspect(&mut self, now: TimeUs) {
        let suspect_after_us = self.options.suspect_after_us;
        let is_silent = |row: &usize| {
            let record = &self.rows[*row];
            let report = record.report.as_ref();
            let is_old =
                report.is_some_and(|report| now.since(report.received_at_us) > suspect_after_us);
            is_old && record.state() == EndpointState::Ready
        };
        let silent: Vec<usize> = (0..self.rows.len()).filter(is_silent).collect();
        for row in silent {
            self.update_row(row, |record| {
                record.handle(EndpointStateEvent::ReportsMissing)
            });
        }
    }

    fn end_ejections(&mut self, now: TimeUs) {
        let is_over = |row: &usize| {
            let until = self.rows[*row].outlier.ejected_until_us;
            until.is_some_and(|until| until <= now)
        };
        let over: Vec<usize> = (0..self.rows.len()).filter(is_over).collect();
        for row in over {
            self.update_row(row, |record| {
                record.outlier.begin_probing();
                record.handle(EndpointStateEvent::EjectionEnded);
            });
        }
    }

    fn eject_slow_endpoints(&mut self, now: TimeUs) {
        let median_slowness_by_service = self.median_slowness_by_service();
        for row in 0..self.rows.len() {
            let record = &self.rows[row];
            let Some(median) = median_slowness_by_service.get(&record.service) else {
                continue;
            };
            if record.outlier.is_slow(*median, &self.options) {
                self.try_eject(row, now);
            }
        }
    }

    /// Returns the median slowness of each service that has enough endpoints to compare.
    fn median_slowness_by_service(&self) -> HashMap<ServiceName, Slowness> {
        let mut by_service: HashMap<ServiceName, Vec<Slowness>> = HashMap::new();
        for record in &self.rows {
            let takes_work = matches!(
                record.state(),
                EndpointState::Ready | EndpointState::Suspect
            );
            if takes_work && record.outlier.samples >= self.options.min_first_token_samples {
                let values = by_service.entry(record.service.clone()).or_default();
                values.push(record.outlier.slowness);
            }
        }
        by_service
            .into_iter()
            .filter(|(_, values)| values.len() >= MIN_ENDPOINTS_FOR_MEDIAN)
            .filter_map(|(service, values)| Some((service, Slowness::median(&values)?)))
            .collect()
    }

    /// Ejects an endpoint unless too many of its service are ejected or it is the last of a pool.
    ///
    /// Without this limit a fault that all endpoints share, such as a slow link, would eject one
    /// after the other, and callers would be refused while every endpoint still answers.
    pub(crate) fn try_eject(&mut self, row: usize, now: TimeUs) {
        if !self.is_replaceable(row) || !self.is_ejection_allowed(row) {
            return;
        }
        if !matches!(
            self.rows[row].state(),
            EndpointState::Ready | EndpointState::Suspect
        ) {
            return;
        }
        let options = self.options.clone();
        self.update_row(row, |record| {
            record.outlier.eject(&options, now);
            record.handle(EndpointStateEvent::Ejected);
        });
    }

    fn is_ejection_allowed(&self, row: usize) -> bool {
        let service = &self.rows[row].service;
        let states = self
            .rows
            .iter()
            .filter(|record| record.service == *service)
            .map(|record| record.state());
        let (mut all, mut ejected) = (0_usize, 0_usize);
        for state in states {
            all += usize::from(state != EndpointState::Gone);
            ejected += usize::from(state == EndpointState::Ejected);
        }
        let allowed = (all as f64 * self.options.max_ejected_fraction) as usize;
        ejected < allowed.max(1)
    }
}
