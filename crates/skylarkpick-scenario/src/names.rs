//! Names and addresses of what a scenario's fleet is made of.

/// Name of the `index`th entry process of a data centre, from 1.
pub(crate) fn entry(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-entry-{index}")
}

/// Name of the `index`th runner of a data centre, from 1.
pub(crate) fn runner(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-runner-{index}")
}

/// Name of the `index`th store of a data centre, from 1.
pub(crate) fn store(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-store-{index}")
}

/// Name of the `index`th instance of the plain service in a data centre, from 1.
pub(crate) fn service(data_centre: &str, index: usize) -> String {
    format!("{data_centre}-book-{index}")
}

/// Address of the `index`th target or process of a kind in a data centre.
pub(crate) fn address(centre_index: usize, kind: usize, index: usize) -> String {
    format!("10.{centre_index}.{kind}.{index}:7000")
}

/// Name under which a cut names the platform.
pub(crate) const PLATFORM: &str = "platform";
/// Model of every scenario.
pub(crate) const MODEL: &str = "model";
/// Plain service of every scenario.
pub(crate) const SERVICE: &str = "book-api";
/// Client accounts of every scenario.
pub(crate) const ACCOUNTS: [&str; 3] = ["cubesat", "imaging", "relay"];
