//! Checks of the sheet as a whole: references, duplicates, cascades and rollouts.

use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::hash::Hash;

use super::finding::{Finding, Kind, Place, Rule};
use super::model::{Account, Cascade, Model, Price, Service, Sheet, UpstreamKind, VersionState};
use crate::ids::{ClassId, ModelId, VersionId, VersionRef};

/// Largest sum of the shares of rollouts that replace one stable version, in permille.
const MAX_SHARE_SUM: u32 = 1_000;

/// Checks the sheet as a whole; its lists must be in the order of the document.
///
/// `shape_findings` gives the places of invalid values, which are not reported again.
#[must_use]
pub fn check(sheet: &Sheet, shape_findings: &[Finding]) -> Vec<Finding> {
    let mut sorted = sheet.clone();
    sorted.sort();
    let hidden = shape_findings
        .iter()
        .filter(|finding| finding.rule.hides_value())
        .map(|finding| &finding.place)
        .collect::<Vec<_>>();
    let mut rules = Rules {
        sheet,
        sorted,
        unsure: Unsure::new(&hidden),
        served: served_versions(sheet),
        hidden,
        found: Vec::new(),
    };
    rules.ids();
    rules.accounts();
    rules.models();
    rules.cascades();
    rules.classes();
    rules.services();
    rules.upstreams();
    let mut found = rules.found;
    found.retain(|finding| {
        !shape_findings
            .iter()
            .any(|shape| finding.place.is_within(&shape.place))
    });
    found
}

struct Rules<'a> {
    sheet: &'a Sheet,
    /// The same sheet with sorted lists, for lookups.
    sorted: Sheet,
    /// Places whose values are unknown because they are invalid.
    hidden: Vec<&'a Place>,
    unsure: Unsure,
    served: HashSet<&'a VersionRef>,
    found: Vec<Finding>,
}

impl Rules<'_> {
    fn add(&mut self, pointer: String, rule: Rule, value: impl Display) {
        self.found.push(Finding::at(pointer, rule, value));
    }

    /// Returns whether the value at the pointer, or one above or below it, is unknown.
    fn is_hidden(&self, pointer: &str) -> bool {
        let place = Place::Pointer(pointer.to_owned());
        self.hidden
            .iter()
            .any(|hidden| hidden.is_within(&place) || place.is_within(hidden))
    }

    fn unique<T: Eq + Hash + Display>(
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

    fn ids(&mut self) {
        let sheet = self.sheet;
        let models = sheet.models.iter().map(|m| &m.id);
        self.unique(listed("/models", "/id", models), duplicate);
        // Of two models with the same ID, a lookup finds only one.
        self.unsure.versions |= !self.found.is_empty();
        let accounts = sheet.accounts.iter().map(|a| &a.id);
        self.unique(listed("/accounts", "/id", accounts), duplicate);
        let cascades = sheet.cascades.iter().map(|c| &c.id);
        self.unique(listed("/cascades", "/id", cascades), duplicate);
        let classes = sheet.classes.iter().map(|c| &c.id);
        self.unique(listed("/classes", "/id", classes), duplicate);
        let services = sheet.services.iter().map(|s| &s.id);
        self.unique(listed("/services", "/id", services), duplicate);
        let upstreams = sheet.upstreams.iter().map(|u| &u.id);
        self.unique(listed("/upstreams", "/id", upstreams), duplicate);
    }

    fn accounts(&mut self) {
        let sheet = self.sheet;
        let hashes = sheet.accounts.iter().enumerate().flat_map(|(at, account)| {
            let pointer = format!("/accounts/{at}/key_hashes");
            let hashes = account.key_hashes.iter().map(|h| h.to_ascii_lowercase());
            listed(&pointer, "", hashes).collect::<Vec<_>>()
        });
        self.unique(hashes, |first| Rule::SharedKeyHash { first });
        for (at, account) in sheet.accounts.iter().enumerate() {
            self.account(&format!("/accounts/{at}"), account);
        }
    }

    fn account(&mut self, pointer: &str, account: &Account) {
        let allow = format!("{pointer}/allow");
        self.unique(listed(&allow, "", &account.allow), duplicate);
        self.versions(&allow, &account.allow);
        self.served(&allow, &account.allow);

        let services = format!("{pointer}/services");
        self.unique(listed(&services, "", &account.services), duplicate);
        if !self.unsure.services {
            for (at, service) in listed(&services, "", &account.services) {
                if self.sorted.service(service).is_none() {
                    self.add(at, dangling(Kind::Service), service);
                }
            }
        }

        let limits = format!("{pointer}/limits");
        let classes: Vec<_> = account.limits.iter().map(|limit| &limit.class).collect();
        self.unique(listed(&limits, "/class", classes.clone()), duplicate);
        for (at, class) in listed(&limits, "/class", classes) {
            self.limit(pointer, at, account, class);
        }
    }

    fn limit(&mut self, account_at: &str, at: String, account: &Account, class: &ClassId) {
        let Some(known) = self.sorted.class(class) else {
            if !self.unsure.classes {
                self.add(at, dangling(Kind::Class), class);
            }
            return;
        };
        let Some(cascade) = self.sorted.cascade(&known.cascade) else {
            return;
        };
        let usable = cascade
            .steps
            .iter()
            .any(|step| account.allow.contains(step));
        let unsure = self.is_hidden(&format!("{account_at}/allow")) || self.is_hidden("/cascades");
        if !usable && !cascade.steps.is_empty() && !unsure {
            self.add(at, Rule::NoUsableStep, class);
        }
    }

    fn versions(&mut self, pointer: &str, versions: &[VersionRef]) {
        if self.unsure.versions {
            return;
        }
        for (at, version) in listed(pointer, "", versions) {
            if self.sorted.version(version).is_none() {
                self.add(at, dangling(Kind::Version), version);
            }
        }
    }

    /// Checks that upstreams serve the versions.
    ///
    /// A withdrawn version needs no upstream, so that a version can be withdrawn by a single change.
    fn served(&mut self, pointer: &str, versions: &[VersionRef]) {
        if self.unsure.upstreams {
            return;
        }
        for (at, version) in listed(pointer, "", versions) {
            let takes_requests = self
                .sorted
                .version(version)
                .is_some_and(|v| v.state != VersionState::Withdrawn);
            if takes_requests && !self.served.contains(version) {
                self.add(at, Rule::NotServed, version);
            }
        }
    }

    fn models(&mut self) {
        for (at, model) in self.sheet.models.iter().enumerate() {
            let pointer = format!("/models/{at}/versions");
            let ids = model.versions.iter().map(|version| &version.id);
            self.unique(listed(&pointer, "/id", ids), duplicate);
            self.share_sums(&pointer, model);
            for (at, version) in model.versions.iter().enumerate() {
                if let Some(rollout) = &version.rollout {
                    let pointer = format!("{pointer}/{at}/rollout/replaces");
                    self.rollout(pointer, &model.id, &version.id, &rollout.replaces);
                }
            }
        }
    }

    fn rollout(&mut self, pointer: String, model: &ModelId, new: &VersionId, stable: &VersionId) {
        let reference = VersionRef {
            model: model.clone(),
            version: stable.clone(),
        };
        let state = self.sorted.version(&reference).map(|version| version.state);
        if new == stable {
            self.add(pointer, Rule::RolloutOfItself, stable);
        } else if state.is_none() {
            if !self.unsure.versions {
                self.add(pointer, dangling(Kind::Version), reference);
            }
        } else if state == Some(VersionState::Withdrawn) {
            self.add(pointer, Rule::RolloutOfWithdrawn, reference);
        } else if self.replaces_itself(model, new) {
            self.add(pointer, Rule::RolloutCycle, reference);
        }
    }

    /// Returns whether the chain of replaced versions from `start` leads back to it.
    fn replaces_itself(&self, model: &ModelId, start: &VersionId) -> bool {
        let mut at = start.clone();
        // A chain without a cycle is no longer than the number of versions.
        for _ in 0..self.sheet.models.iter().map(|m| m.versions.len()).sum() {
            let reference = VersionRef {
                model: model.clone(),
                version: at,
            };
            let version = self.sorted.version(&reference);
            let Some(rollout) = version.and_then(|version| version.rollout.as_ref()) else {
                return false;
            };
            if rollout.replaces == *start {
                return true;
            }
            at = rollout.replaces.clone();
        }
        false
    }

    fn share_sums(&mut self, pointer: &str, model: &Model) {
        let mut sums: HashMap<&VersionId, u32> = HashMap::new();
        for (at, version) in model.versions.iter().enumerate() {
            let Some(rollout) = &version.rollout else {
                continue;
            };
            if version.state == VersionState::Withdrawn {
                continue;
            }
            let sum = sums.entry(&rollout.replaces).or_default();
            *sum += u32::from(rollout.max_share.0);
            if *sum > MAX_SHARE_SUM {
                let rule = Rule::ShareSum { sum: *sum };
                let pointer = format!("{pointer}/{at}/rollout/max_share");
                self.add(pointer, rule, rollout.max_share.0);
            }
        }
    }

    fn cascades(&mut self) {
        for (at, cascade) in self.sheet.cascades.iter().enumerate() {
            self.cascade(&format!("/cascades/{at}/steps"), cascade);
        }
    }

    fn cascade(&mut self, pointer: &str, cascade: &Cascade) {
        if cascade.steps.is_empty() {
            self.add(pointer.to_owned(), Rule::EmptyCascade, &cascade.id);
        }
        self.unique(listed(pointer, "", &cascade.steps), |first| {
            Rule::RepeatedStep { first }
        });
        self.versions(pointer, &cascade.steps);
        for (at, step) in listed(pointer, "", &cascade.steps) {
            let version = self.sorted.version(step);
            if version.is_some_and(|v| v.state == VersionState::Withdrawn) {
                self.add(at, Rule::WithdrawnStep, step);
            }
        }
    }

    fn classes(&mut self) {
        if self.unsure.cascades {
            return;
        }
        let cascades = self.sheet.classes.iter().map(|class| &class.cascade);
        for (at, cascade) in listed("/classes", "/cascade", cascades) {
            if self.sorted.cascade(cascade).is_none() {
                self.add(at, dangling(Kind::Cascade), cascade);
            }
        }
    }

    fn services(&mut self) {
        let sheet = self.sheet;
        let prefixes = sheet.services.iter().map(|s| trimmed(&s.path_prefix));
        let prefixes = listed("/services", "/path_prefix", prefixes);
        self.unique(prefixes, |first| Rule::SharedPrefix { first });
        for (at, service) in sheet.services.iter().enumerate() {
            self.service(&format!("/services/{at}"), service);
        }
    }

    fn service(&mut self, pointer: &str, service: &Service) {
        let running = self.sheet.upstreams.iter().any(|upstream| {
            matches!(&upstream.serves, UpstreamKind::Service { service: s, .. } if *s == service.id)
        });
        if !running && !self.unsure.upstreams {
            self.add(format!("{pointer}/id"), Rule::NoUpstream, &service.id);
        }
        let prices = format!("{pointer}/prices");
        let calls = service.prices.iter().map(call);
        self.unique(listed(&prices, "/path_prefix", calls), duplicate);
        if self.is_hidden(&format!("{pointer}/path_prefix")) {
            return;
        }
        let paths = service.prices.iter().map(|price| &price.path_prefix);
        for (at, path) in listed(&prices, "/path_prefix", paths) {
            if !is_path_within(path, &service.path_prefix) {
                let prefix = service.path_prefix.clone();
                self.add(at, Rule::PriceOutsideService { prefix }, path);
            }
        }
    }

    fn upstreams(&mut self) {
        let sheet = self.sheet;
        let agents = sheet.upstreams.iter().map(|upstream| upstream.agent);
        self.unique(listed("/upstreams", "/agent", agents), |first| {
            Rule::SharedAddress { first }
        });
        for (at, upstream) in sheet.upstreams.iter().enumerate() {
            match &upstream.serves {
                UpstreamKind::Engine { versions, .. } => {
                    let pointer = format!("/upstreams/{at}/serves/engine/versions");
                    self.unique(listed(&pointer, "", versions), duplicate);
                    self.versions(&pointer, versions);
                }
                UpstreamKind::Service { service, .. } => {
                    let known = self.sorted.service(service).is_some();
                    if !known && !self.unsure.services {
                        let pointer = format!("/upstreams/{at}/serves/service/service");
                        self.add(pointer, dangling(Kind::Service), service);
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
struct Unsure {
    versions: bool,
    cascades: bool,
    classes: bool,
    services: bool,
    upstreams: bool,
}

impl Unsure {
    fn new(hidden: &[&Place]) -> Self {
        let mut unsure = Self::default();
        for place in hidden {
            if let Place::Pointer(pointer) = place {
                unsure.note(&pointer.split('/').collect::<Vec<_>>());
            }
        }
        unsure
    }

    fn note(&mut self, segments: &[&str]) {
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
fn listed<'a, T>(
    pointer: &'a str,
    field: &'a str,
    entries: impl IntoIterator<Item = T> + 'a,
) -> impl Iterator<Item = (String, T)> + 'a {
    let entries = entries.into_iter().enumerate();
    entries.map(move |(at, entry)| (format!("{pointer}/{at}{field}"), entry))
}

const fn duplicate(first: String) -> Rule {
    Rule::Duplicate { first }
}

const fn dangling(kind: Kind) -> Rule {
    Rule::Dangling { kind }
}

fn call(price: &Price) -> String {
    format!("{} {}", price.method, trimmed(&price.path_prefix))
}

fn trimmed(path: &str) -> &str {
    path.trim_end_matches('/')
}

fn is_path_within(path: &str, prefix: &str) -> bool {
    trimmed(path)
        .strip_prefix(trimmed(prefix))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
