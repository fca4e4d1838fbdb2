//! Tests that withdrawals take precedence over grants and that keys are removed from forwarded
//! requests.

use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use marigoldhatch::decisions::keys::KeyRing;
use marigoldhatch::decisions::keys::KeyStatus;
use marigoldhatch::upstream::contains_key;
use marigoldhatch::upstream::new_key;
use marigoldhatch::upstream::strip_credentials;
use marigoldhatch::wire::KeyGrant;
use marigoldhatch::wire::KeyWithdrawal;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use uuid::Uuid;

fn grant(hash: u8) -> KeyGrant {
    KeyGrant {
        change_id: Uuid::nil(),
        key_hash: hash.to_string(),
        organisation: format!("org-{hash}"),
        author: String::new(),
        at_ms: 0,
    }
}

fn withdrawal(hash: u8) -> KeyWithdrawal {
    KeyWithdrawal {
        change_id: Uuid::nil(),
        key_hash: hash.to_string(),
        author: String::new(),
        at_ms: 0,
    }
}

proptest! {
    #[test]
    fn withdrawn_key_is_never_valid_regardless_of_order(
        events in prop::collection::vec((0_u8..4, any::<bool>()), 1..40),
    ) {
        let mut ring = KeyRing::default();
        for (hash, grants) in &events {
            if *grants {
                ring.grant(&grant(*hash));
            } else {
                ring.withdraw(&withdrawal(*hash));
            }
        }
        for hash in 0_u8..4 {
            let withdrawn = events.iter().any(|(held, grants)| *held == hash && !grants);
            let granted = events.iter().any(|(held, grants)| *held == hash && *grants);
            let organisation = format!("org-{hash}");
            let expected = match (withdrawn, granted) {
                (true, _) => KeyStatus::Withdrawn,
                (false, true) => KeyStatus::Granted(&organisation),
                (false, false) => KeyStatus::Unknown,
            };
            prop_assert_eq!(ring.status(&hash.to_string()), expected);
        }
    }

    #[test]
    fn keys_are_removed_from_headers_and_query(
        seed in any::<u64>(),
        name in "[a-z][a-z-]{0,12}",
        before in "[a-zA-Z0-9=;, ]{0,20}",
        after in "[a-zA-Z0-9=;, ]{0,20}",
        encoded in prop::collection::vec(any::<bool>(), 44),
    ) {
        let key = new_key(&mut SmallRng::seed_from_u64(seed));
        let encoded_key: String = key
            .bytes()
            .zip(encoded)
            .map(|(byte, encode)| match encode {
                true => format!("%{byte:02X}"),
                false => char::from(byte).to_string(),
            })
            .collect();
        let mut headers = HeaderMap::new();
        let name: HeaderName = name.parse().expect("the generated header name is valid");
        headers.insert(
            name,
            HeaderValue::from_str(&format!("{before}{key}{after}"))
                .expect("the generated header value is valid"),
        );
        let query = format!("keep=1&hidden={encoded_key}&plain={key}");
        let forwarded = strip_credentials(&mut headers, Some(&query));
        prop_assert_eq!(forwarded.as_deref(), Some("keep=1"));
        prop_assert!(headers.is_empty(), "headers that still contain the key: {:?}", headers);
        prop_assert!(contains_key(encoded_key.as_bytes()));
    }
}
