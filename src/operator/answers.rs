//! Reads a team's answers, checks them beyond their schema and derives the configuration.

use std::collections::BTreeSet;
use std::path::Path;

use super::error::OperatorError;
use crate::settings::CheckedDocument;
use crate::settings::DocumentFault;
use crate::settings::RouteAnswer;
use crate::settings::RouteAnswerImportance;
use crate::settings::RouteAnswerWhoMayCall;
use crate::settings::RouteAnswerWhoMayCallString;
use crate::settings::TeamAnswers;
use crate::settings::ANSWERS_SCHEMA;
use crate::wire::Importance;
use crate::wire::OrganisationTerms;
use crate::wire::ServiceConfig;
use crate::wire::ServiceRoute;
use crate::wire::TeamConfig;

/// Reads and checks an answers file.
///
/// # Errors
///
/// Lists every fault with file, line and key.
pub fn read_answers(path: &Path) -> Result<TeamAnswers, OperatorError> {
    let document: CheckedDocument<TeamAnswers> = CheckedDocument::from_file(path, ANSWERS_SCHEMA)?;
    let faults = check_answers(&document);
    if !faults.is_empty() {
        return Err(document.error(faults).into());
    }
    Ok(document.value)
}

/// Derives the configuration from checked answers.
pub fn config_from_answers(answers: &TeamAnswers) -> TeamConfig {
    let organisations: Vec<OrganisationTerms> = answers
        .organisations
        .iter()
        .map(|answer| OrganisationTerms {
            name: answer.name.clone(),
            rate_per_s: answer.rate_per_s,
            burst: answer.burst,
            weight: answer.weight,
        })
        .collect();
    let services = answers
        .services
        .iter()
        .map(|service| ServiceConfig {
            name: service.name.clone(),
            routes: service
                .routes
                .iter()
                .map(|route| route_config(route, &organisations))
                .collect(),
            retry_allowance: service.retries_per_request,
            retry_budget_percent: service.retries_in_percent_of_calls,
            outage_bridge_s: service.bridge_log_outage_s,
        })
        .collect();
    TeamConfig {
        team: answers.team.clone(),
        organisations,
        services,
    }
}

fn route_config(route: &RouteAnswer, organisations: &[OrganisationTerms]) -> ServiceRoute {
    let all_names = || {
        organisations
            .iter()
            .map(|terms| terms.name.clone())
            .collect()
    };
    let (open, allowed) = match &route.who_may_call {
        RouteAnswerWhoMayCall::String(RouteAnswerWhoMayCallString::Anyone) => (true, Vec::new()),
        RouteAnswerWhoMayCall::String(RouteAnswerWhoMayCallString::EveryOrganisation) => {
            (false, all_names())
        }
        RouteAnswerWhoMayCall::Array(names) => (false, names.clone()),
    };
    ServiceRoute {
        path: route.path.clone(),
        methods: route.methods.iter().map(ToString::to_string).collect(),
        idempotent: route.may_run_twice,
        importance: importance(route.importance),
        open,
        deadline_ms: route.deadline_ms,
        allowed,
    }
}

fn importance(answer: RouteAnswerImportance) -> Importance {
    match answer {
        RouteAnswerImportance::Critical => Importance::Critical,
        RouteAnswerImportance::High => Importance::High,
        RouteAnswerImportance::Normal => Importance::Normal,
        RouteAnswerImportance::Low => Importance::Low,
    }
}

fn check_answers(document: &CheckedDocument<TeamAnswers>) -> Vec<DocumentFault> {
    let answers = &document.value;
    let mut faults = duplicate_names(document);
    let organisations: BTreeSet<&str> = answers
        .organisations
        .iter()
        .map(|organisation| organisation.name.as_str())
        .collect();
    let mut paths: BTreeSet<&str> = BTreeSet::new();
    for (service_index, service) in answers.services.iter().enumerate() {
        for (route_index, route) in service.routes.iter().enumerate() {
            let pointer = format!("/services/{service_index}/routes/{route_index}");
            if !paths.insert(&route.path) {
                let message = format!(
                    "{:?} is already used by another route; paths must be unique",
                    route.path
                );
                faults.push(document.fault(&format!("{pointer}/path"), message));
            }
            faults.extend(route_faults(document, route, &pointer, &organisations));
        }
    }
    faults.sort_by_key(|fault| (fault.location.line, fault.location.column));
    faults
}

fn route_faults(
    document: &CheckedDocument<TeamAnswers>,
    route: &RouteAnswer,
    pointer: &str,
    organisations: &BTreeSet<&str>,
) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    if route.path.len() > 1 && route.path.ends_with('/') {
        let trimmed = route.path.trim_end_matches('/');
        let message = format!(
            "{:?} must not end with a slash; write {trimmed:?}",
            route.path
        );
        faults.push(document.fault(&format!("{pointer}/path"), message));
    }
    match &route.who_may_call {
        RouteAnswerWhoMayCall::String(RouteAnswerWhoMayCallString::Anyone)
            if !route.may_run_twice =>
        {
            let message = "a route that must not run twice can't be open to anyone, because repeats \
                are recognised by organisation; list the organisations or use \"every organisation\"";
            faults.push(document.fault(&format!("{pointer}/who_may_call"), message.to_string()));
        }
        RouteAnswerWhoMayCall::Array(names) => {
            for (index, name) in names.iter().enumerate() {
                if !organisations.contains(name.as_str()) {
                    let known: Vec<&str> = organisations.iter().copied().collect();
                    let message = format!(
                        "{name:?} is not among the organisations; they are {}",
                        known.join(", ")
                    );
                    let pointer = format!("{pointer}/who_may_call/{index}");
                    faults.push(document.fault(&pointer, message));
                }
            }
        }
        RouteAnswerWhoMayCall::String(_) => {}
    }
    faults
}

fn duplicate_names(document: &CheckedDocument<TeamAnswers>) -> Vec<DocumentFault> {
    let answers = &document.value;
    let organisations = answers
        .organisations
        .iter()
        .map(|entry| entry.name.as_str());
    let services = answers.services.iter().map(|entry| entry.name.as_str());
    let mut faults = Vec::new();
    let mut check_list = |list: &str, names: Vec<&str>| {
        let mut seen = BTreeSet::new();
        for (index, name) in names.into_iter().enumerate() {
            if !seen.insert(name.to_string()) {
                let message = format!("{name:?} is used twice; names must be unique");
                faults.push(document.fault(&format!("/{list}/{index}/name"), message));
            }
        }
    };
    check_list("organisations", organisations.collect());
    check_list("services", services.collect());
    faults
}
