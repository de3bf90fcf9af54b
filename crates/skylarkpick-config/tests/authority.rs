//! Settings with a peer address need an authority, and an authority needs a peer address.

use skylarkpick_config::parse_settings;

#[test]
fn requires_peer_address_certificate_and_key_together() {
    struct Case<'a> {
        fields: &'a str,
        invalid_paths: &'static [&'static str],
    }
    const ADDRESS: &str = "\"peer_address\": \"127.0.0.1:7000\",";
    const CERTIFICATE: &str = "\"authority_certificate\": {\"path\": \"/a.pem\"},";
    const KEY: &str = "\"authority_key\": {\"environment\": \"KEY\"},";
    let both = [ADDRESS, CERTIFICATE, KEY].concat();
    let address_and_key = [ADDRESS, KEY].concat();
    let no_address = [CERTIFICATE, KEY].concat();
    let cases = [
        Case { fields: "", invalid_paths: &[] },
        Case { fields: &both, invalid_paths: &[] },
        Case { fields: ADDRESS, invalid_paths: &["authority_certificate", "authority_key"] },
        Case { fields: &address_and_key, invalid_paths: &["authority_certificate"] },
        Case { fields: CERTIFICATE, invalid_paths: &["authority_key", "peer_address"] },
        Case { fields: &no_address, invalid_paths: &["peer_address"] },
    ];
    for Case { fields, invalid_paths } in cases {
        let text = format!(
            "{{\"data_centre\": \"mnl-a\", \"http_address\": \"127.0.0.1:1\", \
             \"platform_address\": \"127.0.0.1:2\", {fields}}}"
        );
        let errors = parse_settings(&text).err().map(|errors| errors.0).unwrap_or_default();
        let mut paths: Vec<String> = errors.into_iter().map(|error| error.path).collect();
        paths.sort();
        assert_eq!(paths, invalid_paths, "{fields}");
    }
}
