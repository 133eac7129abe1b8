//! Property tests of session tokens and tests of their keys.

use super::*;
use crate::fixtures::check_property;
use crate::ids::MAX_NAME_BYTES;

const LIFETIME: Millis = Millis(10_000);
const ISSUED: Millis = Millis(1_000_000);

fn key(id: &str) -> SessionKey {
    SessionKey::new(id, format!("{id:-<40}"))
}

fn keys(ids: &[&str]) -> SessionKeys {
    SessionKeys::new(ids.iter().map(|id| key(id)).collect()).expect("the keys are valid")
}

fn token(keys: &SessionKeys) -> String {
    let version = VersionRef::new("small", "v1");
    keys.sign(&"shop".into(), &version, ISSUED, LIFETIME)
}

// Guards against a token that is valid at another time, for another account or for another version than it
// was issued for, also during a rotation of keys.
#[test]
fn a_token_pins_exactly_what_was_signed() {
    fn property(offset: u16, is_other_account: bool, signer: bool, account: u8) -> bool {
        let (old, new) = (keys(&["old", "new"]), keys(&["new", "old"]));
        let account = AccountId::from(format!("shop-{account}"));
        let version = VersionRef::new("small", "v2");
        let signer = if signer { &old } else { &new };
        let token = signer.sign(&account, &version, ISSUED, LIFETIME);
        let now = ISSUED + Millis(u64::from(offset));
        let caller = if is_other_account {
            "school".into()
        } else {
            account
        };
        let pinned = PinnedSession {
            version,
            issued_at: ISSUED,
            expires_at: ISSUED + LIFETIME,
        };
        let expected = match () {
            () if is_other_account => Err(SessionError::WrongAccount),
            () if u64::from(offset) >= LIFETIME.0 => Err(SessionError::Expired),
            () => Ok(pinned),
        };
        [&old, &new]
            .iter()
            .all(|keys| keys.verify(&token, &caller, now) == expected)
    }
    check_property(1, property as fn(u16, bool, bool, u8) -> bool);
}

// Guards against the acceptance of forged, truncated or changed tokens, and against a panic on a malformed
// header.
#[test]
fn changed_tokens_are_refused() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(at: usize, bit: u8, cut: usize, text: String) -> bool {
        let keys = keys(&["k1"]);
        let refused = |token: &str| keys.verify(token, &"shop".into(), ISSUED).is_err();
        let good = token(&keys);
        let mut flipped = good.clone().into_bytes();
        let at = at % flipped.len();
        flipped[at] ^= 1 << (bit % 7);
        let flipped = String::from_utf8(flipped).expect("a byte below 128 is ASCII");
        let (signed, signature) = good.rsplit_once('.').expect("the token has a signature");

        refused(&flipped)
            && refused(&good[..cut % good.len()])
            && refused(&good[1 + cut % good.len()..])
            && refused(&format!("{signed}.{text}"))
            && refused(&format!("{text}.{signature}"))
            && refused(&format!("{good}{}", 'A'))
            && refused(&text)
    }
    check_property(2, property as fn(usize, u8, usize, String) -> bool);
}

// Guards against a wrong reason of a refusal, and against keys that verify tokens they did not sign.
#[test]
fn refusals_give_the_reason() {
    let good = token(&keys(&["k1"]));
    let other_secret = SessionKey::new("k1", "x".repeat(40));
    let other_secret = SessionKeys::new(vec![other_secret]).expect("the key is valid");
    let verify = |keys: &SessionKeys, token: &str, now| {
        keys.verify(token, &"shop".into(), now)
            .map(|pinned| pinned.version)
    };

    assert_eq!(
        verify(&keys(&["k2"]), &good, ISSUED),
        Err(SessionError::UnknownKey)
    );
    assert_eq!(
        verify(&other_secret, &good, ISSUED),
        Err(SessionError::BadSignature)
    );
    let large = VersionRef::new("large", "v1");
    let other = keys(&["k1"]).sign(&"shop".into(), &large, ISSUED, LIFETIME);
    let (signed, _) = other.rsplit_once('.').expect("the token has a signature");
    let (_, signature) = good.rsplit_once('.').expect("the token has a signature");
    let spliced = format!("{signed}.{signature}");
    assert_eq!(
        verify(&keys(&["k1"]), &spliced, ISSUED),
        Err(SessionError::BadSignature)
    );
    let other_format = good.replacen("v1.", "v2.", 1);
    assert_eq!(
        verify(&keys(&["k1"]), &other_format, ISSUED),
        Err(SessionError::Malformed)
    );
    let long = "v".repeat(MAX_TOKEN_BYTES + 1);
    assert_eq!(
        verify(&keys(&["k1"]), &long, ISSUED),
        Err(SessionError::Malformed)
    );
    let end = ISSUED + LIFETIME;
    assert_eq!(
        verify(&keys(&["k1"]), &good, end),
        Err(SessionError::Expired)
    );
    let last = Millis(end.0 - 1);
    let pinned = Ok(VersionRef::new("small", "v1"));
    assert_eq!(verify(&keys(&["k1"]), &good, last), pinned);
    let early = Millis(ISSUED.0 - MAX_AHEAD.0 - 1);
    assert_eq!(
        verify(&keys(&["k1"]), &good, early),
        Err(SessionError::Expired)
    );
}

// Guards against keys with equal ids, keys that can be guessed, and secrets in logs.
#[test]
fn invalid_keys_are_refused_and_secrets_are_not_printed() {
    let build = |list: &[(&str, usize)]| {
        let key = |&(id, len): &(&str, usize)| SessionKey::new(id, vec![b's'; len]);
        SessionKeys::new(list.iter().map(key).collect()).map(|keys| format!("{keys:?}"))
    };

    assert_eq!(build(&[]), Err(KeysError::Empty));
    assert_eq!(
        build(&[("a", 31)]),
        Err(KeysError::ShortSecret("a".to_owned()))
    );
    assert_eq!(
        build(&[("a", 32), ("a", 32)]),
        Err(KeysError::DuplicateId("a".to_owned()))
    );
    assert_eq!(
        build(&[("a.b", 32)]),
        Err(KeysError::InvalidId("a.b".to_owned()))
    );
    let debug = build(&[("a", 32)]).expect("the key is valid");
    assert!(!debug.contains("115") && !debug.contains("sss"), "{debug}");
}

// Guards against valid names whose tokens are refused for their length.
#[test]
fn the_longest_names_fit() {
    let keys = keys(&["k".repeat(MAX_KEY_ID_BYTES).as_str()]);
    let name = "n".repeat(MAX_NAME_BYTES);
    let version = VersionRef::new(&name, &name);
    let account = AccountId::from(name);

    let token = keys.sign(&account, &version, ISSUED, LIFETIME);

    let pinned = keys.verify(&token, &account, ISSUED).map(|p| p.version);
    assert_eq!(pinned, Ok(version), "{} bytes", token.len());
}
