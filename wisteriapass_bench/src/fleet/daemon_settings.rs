//! Settings that are specific to each daemon; those shared by all are added later.

use wisteriapass_config::{Role, Router, Settings, Target};

use super::daemon::free_addr;

/// Returns the settings of a router, with free ports.
pub(super) fn router_settings(router: &Router) -> Settings {
    Settings {
        role: Role::Router,
        name: router.name.clone(),
        vm: router.vm.clone(),
        failure_domain: router.failure_domain.clone(),
        listen: free_addr(),
        control: free_addr(),
        admin: free_addr(),
        ..Settings::default()
    }
}

/// Returns the settings of a side process, with free ports.
pub(super) fn side_settings(target: &Target) -> Settings {
    Settings {
        role: Role::Side,
        name: target.name.clone(),
        vm: target.vm.clone(),
        failure_domain: target.failure_domain.clone(),
        listen: free_addr(),
        control: free_addr(),
        admin: free_addr(),
        target: Some(target.address),
        ..Settings::default()
    }
}
