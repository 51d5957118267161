//! Holds known values of the hash by which hosts agree without a message between them. A value that
//! changes would make hosts of two builds disagree during an upgrade.

use base::{StableHash, mix_bits};

#[test]
fn hashes_are_the_same_in_every_build() {
    let pool_host = StableHash::new().with_text("pool").with_text("host");
    assert_eq!(StableHash::new().finish(), 0xf52a_15e9_a9b5_e89b);
    assert_eq!(pool_host.finish(), 0xf113_e01b_610d_0dec);
    let number = StableHash::new().with_number(7);
    assert_eq!(number.finish(), 0xae25_3598_b337_821e);
    assert_eq!(mix_bits(1), 0x5692_161d_100b_05e5);
}

#[test]
fn a_border_between_texts_counts() {
    let two_texts = StableHash::new().with_text("ab").with_text("c");
    let other_texts = StableHash::new().with_text("a").with_text("bc");
    assert_ne!(two_texts.finish(), other_texts.finish());
}
