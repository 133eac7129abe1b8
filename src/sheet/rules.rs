//! Checks of the sheet as a whole: references, duplicates, cascades and roll-outs.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;

use super::finding::{EntryKind, Finding, Place, Rule};
use super::model::{Account, Cascade, Model, Price, Service, Sheet, UpstreamKind, VersionState};
use crate::ids::{ClassId, ModelId, VersionId, VersionRef};

/// Largest sum of the shares of roll-outs that replace one stable version, in permille.
const MAX_SHARE_SUM_PERMILLE: u32 = 1_000;

/// Checks the sheet as a whole; its lists must be in the order of the document.
///
/// `shape_findings` gives the places of invalid values, which are not reported again.
#[must_use]
pub fn check(sheet: &Sheet, shape_findings: &[Finding]) -> Vec<Finding> {
    let mut sorted = sheet.clone();
    sorted.sort();
    let unknown_places = shape_findings
        .iter()
        .filter(|finding| finding.rule.makes_value_unknown())
        .map(|finding| &finding.place)
        .collect::<Vec<_>>();
    let mut checker = Checker {
        sheet,
        sorted,
        incomplete: IncompleteLists::new(&unknown_places),
        served: served_versions(sheet),
        unknown_places,
        findings: Vec::new(),
    };
    checker.check_ids();
    checker.check_accounts();
    checker.check_models();
    checker.check_cascades();
    checker.check_classes();
    checker.check_services();
    checker.check_upstreams();
    let mut findings = checker.findings;
    findings.retain(|finding| {
        !shape_findings
            .iter()
            .any(|shape| finding.place.is_within(&shape.place))
    });
    findings
}

struct Checker<'a> {
    sheet: &'a Sheet,
    /// The same sheet with sorted lists, for lookups.
    sorted: Sheet,
    /// Places whose values are unknown because they are invalid.
    unknown_places: Vec<&'a Place>,
    incomplete: IncompleteLists,
    served: HashSet<&'a VersionRef>,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add(&mut self, pointer: String, rule: Rule, value: impl Display) {
        self.findings.push(Finding::at(pointer, rule, value));
    }

    /// Returns whether the value at the pointer, or one above or below it, is unknown.
    fn is_unknown(&self, pointer: &str) -> bool {
        let place = Place::Pointer(pointer.to_owned());
        self.unknown_places
            .iter()
            .any(|unknown| unknown.is_within(&place) || place.is_within(unknown))
    }

    fn check_unique<T: Eq + Hash + Display>(
        &mut self,
        entries: impl Iterator<Item = (String, T)>,
        rule: impl Fn(String) -> Rule,
    ) {
        let mut first = HashMap::new();
        for (pointer, key) in entries {
            if let Some(earlier) = first.get(&key) {
                let rule = rule(String::clone(earlier));
                self.add(pointer, rule, key);
            } else {
                first.insert(key, pointer);
            }
        }
    }

    fn check_ids(&mut self) {
        let sheet = self.sheet;
        let models = sheet.models.iter().map(|m| &m.id);
        self.check_unique(with_pointers("/models", "/id", models), duplicate);
        // Of two models with the same ID, a lookup finds only one.
        self.incomplete.versions |= !self.findings.is_empty();
        let accounts = sheet.accounts.iter().map(|a| &a.id);
        self.check_unique(with_pointers("/accounts", "/id", accounts), duplicate);
        let cascades = sheet.cascades.iter().map(|c| &c.id);
        self.check_unique(with_pointers("/cascades", "/id", cascades), duplicate);
        let classes = sheet.classes.iter().map(|c| &c.id);
        self.check_unique(with_pointers("/classes", "/id", classes), duplicate);
        let services = sheet.services.iter().map(|s| &s.id);
        self.check_unique(with_pointers("/services", "/id", services), duplicate);
        let upstreams = sheet.upstreams.iter().map(|u| &u.id);
        self.check_unique(with_pointers("/upstreams", "/id", upstreams), duplicate);
    }

    fn check_accounts(&mut self) {
        let sheet = self.sheet;
        let hashes = sheet
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| {
                let pointer = format!("/accounts/{index}/key_hashes");
                let hashes = account.key_hashes.iter().map(|h| h.to_ascii_lowercase());
                with_pointers(&pointer, "", hashes).collect::<Vec<_>>()
            });
        self.check_unique(hashes, |first| Rule::SharedKeyHash { first });
        for (index, account) in sheet.accounts.iter().enumerate() {
            self.check_account(&format!("/accounts/{index}"), account);
        }
    }

    fn check_account(&mut self, pointer: &str, account: &Account) {
        let allow = format!("{pointer}/allow");
        self.check_unique(with_pointers(&allow, "", &account.allow), duplicate);
        self.check_versions_exist(&allow, &account.allow);
        self.check_versions_served(&allow, &account.allow);

        let services = format!("{pointer}/services");
        self.check_unique(with_pointers(&services, "", &account.services), duplicate);
        if !self.incomplete.services {
            for (entry_pointer, service) in with_pointers(&services, "", &account.services) {
                if self.sorted.service(service).is_none() {
                    self.add(entry_pointer, dangling(EntryKind::Service), service);
                }
            }
        }

        let limits = format!("{pointer}/limits");
        let classes: Vec<_> = account.limits.iter().map(|limit| &limit.class).collect();
        self.check_unique(with_pointers(&limits, "/class", classes.clone()), duplicate);
        for (class_pointer, class) in with_pointers(&limits, "/class", classes) {
            self.check_limit(pointer, class_pointer, account, class);
        }
    }

    fn check_limit(
        &mut self,
        account_pointer: &str,
        pointer: String,
        account: &Account,
        class: &ClassId,
    ) {
        let Some(class_entry) = self.sorted.class(class) else {
            if !self.incomplete.classes {
                self.add(pointer, dangling(EntryKind::Class), class);
            }
            return;
        };
        let Some(cascade) = self.sorted.cascade(&class_entry.cascade) else {
            return;
        };
        let usable = cascade
            .steps
            .iter()
            .any(|step| account.allow.contains(step));
        let has_unknown_input =
            self.is_unknown(&format!("{account_pointer}/allow")) || self.is_unknown("/cascades");
        if !usable && !cascade.steps.is_empty() && !has_unknown_input {
            self.add(pointer, Rule::NoUsableStep, class);
        }
    }

    fn check_versions_exist(&mut self, pointer: &str, versions: &[VersionRef]) {
        if self.incomplete.versions {
            return;
        }
        for (entry_pointer, version) in with_pointers(pointer, "", versions) {
            if self.sorted.version(version).is_none() {
                self.add(entry_pointer, dangling(EntryKind::Version), version);
            }
        }
    }

    /// Checks that upstreams serve the versions.
    ///
    /// A withdrawn version needs no upstream, so that a version can be withdrawn by a single change.
    fn check_versions_served(&mut self, pointer: &str, versions: &[VersionRef]) {
        if self.incomplete.upstreams {
            return;
        }
        for (entry_pointer, version) in with_pointers(pointer, "", versions) {
            let takes_requests = self
                .sorted
                .version(version)
                .is_some_and(|v| v.state != VersionState::Withdrawn);
            if takes_requests && !self.served.contains(version) {
                self.add(entry_pointer, Rule::NotServed, version);
            }
        }
    }

    fn check_models(&mut self) {
        for (index, model) in self.sheet.models.iter().enumerate() {
            let pointer = format!("/models/{index}/versions");
            let ids = model.versions.iter().map(|version| &version.id);
            self.check_unique(with_pointers(&pointer, "/id", ids), duplicate);
            self.check_share_sums(&pointer, model);
            for (index, version) in model.versions.iter().enumerate() {
                if let Some(rollout) = &version.rollout {
                    let pointer = format!("{pointer}/{index}/rollout/replaces");
                    self.check_rollout(pointer, &model.id, &version.id, &rollout.replaces);
                }
            }
        }
    }

    fn check_rollout(
        &mut self,
        pointer: String,
        model: &ModelId,
        new: &VersionId,
        stable: &VersionId,
    ) {
        let reference = VersionRef {
            model: model.clone(),
            version: stable.clone(),
        };
        let state = self.sorted.version(&reference).map(|version| version.state);
        if new == stable {
            self.add(pointer, Rule::RolloutOfItself, stable);
        } else if state.is_none() {
            if !self.incomplete.versions {
                self.add(pointer, dangling(EntryKind::Version), reference);
            }
        } else if state == Some(VersionState::Withdrawn) {
            self.add(pointer, Rule::RolloutOfWithdrawn, reference);
        } else if self.is_rollout_cycle(model, new) {
            self.add(pointer, Rule::RolloutCycle, reference);
        }
    }

    /// Returns whether the chain of replaced versions from `start` leads back to it.
    fn is_rollout_cycle(&self, model: &ModelId, start: &VersionId) -> bool {
        let mut current = start.clone();
        // A chain without a cycle is no longer than the number of versions.
        for _ in 0..self.sheet.models.iter().map(|m| m.versions.len()).sum() {
            let reference = VersionRef {
                model: model.clone(),
                version: current,
            };
            let version = self.sorted.version(&reference);
            let Some(rollout) = version.and_then(|version| version.rollout.as_ref()) else {
                return false;
            };
            if rollout.replaces == *start {
                return true;
            }
            current = rollout.replaces.clone();
        }
        false
    }

    fn check_share_sums(&mut self, pointer: &str, model: &Model) {
        let mut sums: HashMap<&VersionId, u32> = HashMap::new();
        for (index, version) in model.versions.iter().enumerate() {
            let Some(rollout) = &version.rollout else {
                continue;
            };
            if version.state == VersionState::Withdrawn {
                continue;
            }
            let sum = sums.entry(&rollout.replaces).or_default();
            *sum += u32::from(rollout.max_share.0);
            if *sum > MAX_SHARE_SUM_PERMILLE {
                let rule = Rule::ShareSum { sum: *sum };
                let pointer = format!("{pointer}/{index}/rollout/max_share");
                self.add(pointer, rule, rollout.max_share.0);
            }
        }
    }

    fn check_cascades(&mut self) {
        for (index, cascade) in self.sheet.cascades.iter().enumerate() {
            self.check_cascade(&format!("/cascades/{index}/steps"), cascade);
        }
    }

    fn check_cascade(&mut self, pointer: &str, cascade: &Cascade) {
        if cascade.steps.is_empty() {
            self.add(pointer.to_owned(), Rule::EmptyCascade, &cascade.id);
        }
        self.check_unique(with_pointers(pointer, "", &cascade.steps), |first| {
            Rule::RepeatedStep { first }
        });
        self.check_versions_exist(pointer, &cascade.steps);
        for (entry_pointer, step) in with_pointers(pointer, "", &cascade.steps) {
            let version = self.sorted.version(step);
            if version.is_some_and(|v| v.state == VersionState::Withdrawn) {
                self.add(entry_pointer, Rule::WithdrawnStep, step);
            }
        }
    }

    fn check_classes(&mut self) {
        if self.incomplete.cascades {
            return;
        }
        let cascades = self.sheet.classes.iter().map(|class| &class.cascade);
        for (entry_pointer, cascade) in with_pointers("/classes", "/cascade", cascades) {
            if self.sorted.cascade(cascade).is_none() {
                self.add(entry_pointer, dangling(EntryKind::Cascade), cascade);
            }
        }
    }

    fn check_services(&mut self) {
        let sheet = self.sheet;
        let prefixes = sheet
            .services
            .iter()
            .map(|s| trim_trailing_slashes(&s.path_prefix));
        let prefixes = with_pointers("/services", "/path_prefix", prefixes);
        self.check_unique(prefixes, |first| Rule::SharedPrefix { first });
        for (index, service) in sheet.services.iter().enumerate() {
            self.check_service(&format!("/services/{index}"), service);
        }
    }

    fn check_service(&mut self, pointer: &str, service: &Service) {
        let has_upstream = self.sheet.upstreams.iter().any(|upstream| {
            matches!(&upstream.serves, UpstreamKind::Service { service: s, .. } if *s == service.id)
        });
        if !has_upstream && !self.incomplete.upstreams {
            self.add(format!("{pointer}/id"), Rule::NoUpstream, &service.id);
        }
        let prices = format!("{pointer}/prices");
        let calls = service.prices.iter().map(call_key);
        self.check_unique(with_pointers(&prices, "/path_prefix", calls), duplicate);
        if self.is_unknown(&format!("{pointer}/path_prefix")) {
            return;
        }
        let paths = service.prices.iter().map(|price| &price.path_prefix);
        for (entry_pointer, path) in with_pointers(&prices, "/path_prefix", paths) {
            if !is_path_within(path, &service.path_prefix) {
                let prefix = service.path_prefix.clone();
                self.add(entry_pointer, Rule::PriceOutsideService { prefix }, path);
            }
        }
    }

    fn check_upstreams(&mut self) {
        let sheet = self.sheet;
        let agents = sheet.upstreams.iter().map(|upstream| upstream.agent);
        self.check_unique(with_pointers("/upstreams", "/agent", agents), |first| {
            Rule::SharedAddress { first }
        });
        for (index, upstream) in sheet.upstreams.iter().enumerate() {
            match &upstream.serves {
                UpstreamKind::Engine { versions, .. } => {
                    let pointer = format!("/upstreams/{index}/serves/engine/versions");
                    self.check_unique(with_pointers(&pointer, "", versions), duplicate);
                    self.check_versions_exist(&pointer, versions);
                }
                UpstreamKind::Service { service, .. } => {
                    let exists = self.sorted.service(service).is_some();
                    if !exists && !self.incomplete.services {
                        let pointer = format!("/upstreams/{index}/serves/service/service");
                        self.add(pointer, dangling(EntryKind::Service), service);
                    }
                }
            }
        }
    }
}

/// Lists with unknown entries, in which a failed lookup does not show that a reference is dangling.
#[derive(Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "one independent flag for each list"
)]
struct IncompleteLists {
    versions: bool,
    cascades: bool,
    classes: bool,
    services: bool,
    upstreams: bool,
}

impl IncompleteLists {
    fn new(unknown_places: &[&Place]) -> Self {
        let mut incomplete = Self::default();
        for place in unknown_places {
            if let Place::Pointer(pointer) = place {
                incomplete.add_place(&pointer.split('/').collect::<Vec<_>>());
            }
        }
        incomplete
    }

    fn add_place(&mut self, segments: &[&str]) {
        match segments {
            [_] => {
                *self = Self {
                    versions: true,
                    cascades: true,
                    classes: true,
                    services: true,
                    upstreams: true,
                }
            }
            [_, "models"]
            | [_, "models", _]
            | [_, "models", _, "id" | "versions"]
            | [_, "models", _, "versions", _]
            | [_, "models", _, "versions", _, "id"] => self.versions = true,
            [_, "cascades"] | [_, "cascades", _] | [_, "cascades", _, "id"] => self.cascades = true,
            [_, "classes"] | [_, "classes", _] | [_, "classes", _, "id"] => self.classes = true,
            [_, "services"] | [_, "services", _] | [_, "services", _, "id"] => self.services = true,
            [_, "upstreams", ..] => self.upstreams = true,
            _ => {}
        }
    }
}

fn served_versions(sheet: &Sheet) -> HashSet<&VersionRef> {
    let engines = sheet.upstreams.iter();
    engines
        .filter_map(|upstream| match &upstream.serves {
            UpstreamKind::Engine { versions, .. } => Some(versions),
            UpstreamKind::Service { .. } => None,
        })
        .flatten()
        .collect()
}

/// Pairs each entry with a JSON pointer to one of its fields; an empty `field` means the entry itself.
fn with_pointers<'a, T>(
    pointer: &'a str,
    field: &'a str,
    entries: impl IntoIterator<Item = T> + 'a,
) -> impl Iterator<Item = (String, T)> + 'a {
    let entries = entries.into_iter().enumerate();
    entries.map(move |(index, entry)| (format!("{pointer}/{index}{field}"), entry))
}

const fn duplicate(first: String) -> Rule {
    Rule::Duplicate { first }
}

const fn dangling(kind: EntryKind) -> Rule {
    Rule::Dangling { kind }
}

fn call_key(price: &Price) -> String {
    format!(
        "{} {}",
        price.method,
        trim_trailing_slashes(&price.path_prefix)
    )
}

fn trim_trailing_slashes(path: &str) -> &str {
    path.trim_end_matches('/')
}

fn is_path_within(path: &str, prefix: &str) -> bool {
    trim_trailing_slashes(path)
        .strip_prefix(trim_trailing_slashes(prefix))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
