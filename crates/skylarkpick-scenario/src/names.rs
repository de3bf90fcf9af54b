//! Names and addresses in the fleet of a scenario.

/// Returns the name of the `index`th entry process of a data centre, from 1.
pub(crate) fn entry(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-entry-{index}")
}

/// Returns the name of the `index`th runner of a data centre, from 1.
pub(crate) fn runner(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-runner-{index}")
}

/// Returns the name of the `index`th store of a data centre, from 1.
pub(crate) fn store(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-store-{index}")
}

/// Returns the name of the `index`th instance of the plain service in a data centre, from 1.
pub(crate) fn service(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-book-{index}")
}

/// Returns the address of the `index`th process or target of a kind in a data centre. The kinds
/// are 0 for entry processes, 1 for runners, 2 for stores and 3 for instances of the plain service.
pub(crate) fn address(data_centre_index: usize, kind: usize, index: usize) -> String {
    format!("10.{data_centre_index}.{kind}.{index}:7000")
}

/// Name of the platform in the arguments of `cut` and `heal`.
pub(crate) const PLATFORM: &str = "platform";
/// Model that all runners serve.
pub(crate) const MODEL: &str = "model";
/// Name of the plain service.
pub(crate) const SERVICE: &str = "book-api";
/// Client accounts of the configuration.
pub(crate) const ACCOUNTS: [&str; 3] = ["cubesat", "imaging", "relay"];
