//! Peers need an authority, and an authority needs peers.

use skylarkpick_config::parse_settings;

#[test]
fn peers_and_their_authority_come_together() {
    struct Case<'a> {
        fields: &'a str,
        faults: &'static [&'static str],
    }
    const ADDRESS: &str = "\"peer_address\": \"127.0.0.1:7000\",";
    const CERTIFICATE: &str = "\"authority_certificate\": {\"path\": \"/a.pem\"},";
    const KEY: &str = "\"authority_key\": {\"environment\": \"KEY\"},";
    let both = [ADDRESS, CERTIFICATE, KEY].concat();
    let address_and_key = [ADDRESS, KEY].concat();
    let no_address = [CERTIFICATE, KEY].concat();
    let cases = [
        Case { fields: "", faults: &[] },
        Case { fields: &both, faults: &[] },
        Case { fields: ADDRESS, faults: &["authority_certificate", "authority_key"] },
        Case { fields: &address_and_key, faults: &["authority_certificate"] },
        Case { fields: CERTIFICATE, faults: &["authority_key", "peer_address"] },
        Case { fields: &no_address, faults: &["peer_address"] },
    ];
    for Case { fields, faults: expected } in cases {
        let text = format!(
            "{{\"data_centre\": \"mnl-a\", \"http_address\": \"127.0.0.1:1\", \
             \"platform_address\": \"127.0.0.1:2\", {fields}}}"
        );
        let faults = parse_settings(&text).err().map(|faults| faults.0).unwrap_or_default();
        let mut paths: Vec<String> = faults.into_iter().map(|fault| fault.path).collect();
        paths.sort();
        assert_eq!(paths, expected, "{fields}");
    }
}
