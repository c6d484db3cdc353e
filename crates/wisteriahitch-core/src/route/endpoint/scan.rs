//! The systems that run over the endpoint table each tick.

use std::collections::HashMap;

use wisteriahitch_types::{ServiceName, TimeUs};

use super::{EndpointTable, LifeEvent, LifeState, Slowness};

/// Endpoints with enough samples without which a service has no median to compare with.
const MIN_COMPARED: usize = 2;

impl EndpointTable {
    /// Finds missing reports, ends ejections and looks for slow endpoints.
    pub fn tick(&mut self, now: TimeUs) {
        self.find_silent(now);
        self.end_ejections(now);
        if now.since(self.last_scan_at_us) >= self.options.scan_interval_us {
            self.last_scan_at_us = now;
            self.eject_slow(now);
        }
    }

    fn find_silent(&mut self, now: TimeUs) {
        let silence_us = self.options.silence_us;
        let is_silent = |row: &usize| {
            let record = &self.rows[*row];
            let report = record.report.as_ref();
            let is_old = report.is_some_and(|held| now.since(held.received_at_us) > silence_us);
            is_old && record.state() == LifeState::Ready
        };
        let silent: Vec<usize> = (0..self.rows.len()).filter(is_silent).collect();
        for row in silent {
            self.change(row, |record| record.handle(LifeEvent::Silent));
        }
    }

    fn end_ejections(&mut self, now: TimeUs) {
        let is_over = |row: &usize| {
            let until = self.rows[*row].outlier.ejected_until_us;
            until.is_some_and(|until| until <= now)
        };
        let over: Vec<usize> = (0..self.rows.len()).filter(is_over).collect();
        for row in over {
            self.change(row, |record| {
                record.outlier.begin_probing();
                record.handle(LifeEvent::Probed);
            });
        }
    }

    fn eject_slow(&mut self, now: TimeUs) {
        let medians = self.medians();
        for row in 0..self.rows.len() {
            let record = &self.rows[row];
            let Some(median) = medians.get(&record.service) else {
                continue;
            };
            if record.outlier.is_slow(*median, &self.options) {
                self.try_eject(row, now);
            }
        }
    }

    /// Returns the median slowness of each service that has enough endpoints to compare.
    fn medians(&self) -> HashMap<ServiceName, Slowness> {
        let mut by_service: HashMap<ServiceName, Vec<Slowness>> = HashMap::new();
        for record in &self.rows {
            let takes_work = matches!(record.state(), LifeState::Ready | LifeState::Suspect);
            if takes_work && record.outlier.samples >= self.options.min_samples {
                let values = by_service.entry(record.service.clone()).or_default();
                values.push(record.outlier.slowness);
            }
        }
        by_service
            .into_iter()
            .filter(|(_, values)| values.len() >= MIN_COMPARED)
            .filter_map(|(service, values)| Some((service, Slowness::median(&values)?)))
            .collect()
    }

    /// Ejects a row unless too much of its service would be out.
    ///
    /// Without the floor a fault that all endpoints share, such as a slow link, would eject one
    /// after the other; one would notice by refusals while every endpoint still answers.
    pub(crate) fn try_eject(&mut self, row: usize, now: TimeUs) {
        if !self.is_replaceable(row) || !self.has_ejection_left(row) {
            return;
        }
        if !matches!(
            self.rows[row].state(),
            LifeState::Ready | LifeState::Suspect
        ) {
            return;
        }
        let options = self.options.clone();
        self.change(row, |record| {
            record.outlier.eject(&options, now);
            record.handle(LifeEvent::Ejected);
        });
    }

    fn has_ejection_left(&self, row: usize) -> bool {
        let service = &self.rows[row].service;
        let states = self
            .rows
            .iter()
            .filter(|record| record.service == *service)
            .map(|record| record.state());
        let (mut all, mut ejected) = (0_usize, 0_usize);
        for state in states {
            all += usize::from(state != LifeState::Gone);
            ejected += usize::from(state == LifeState::Ejected);
        }
        let allowed = (all as f64 * self.options.max_ejected_share) as usize;
        ejected < allowed.max(1)
    }
}
