//! Piece chains: what a key depends on and which pieces are complete.

use proptest::prelude::*;
use wisteriahitch_core::route::{ChainScope, Piece, PieceChain, piece_chain};
use wisteriahitch_types::{AdapterName, TokenCount};

use crate::generated::seeded_config;
use crate::route_fixture::words;

#[derive(Clone, Copy)]
struct Scope {
    workspace: &'static str,
    model: &'static str,
    adapter: Option<&'static str>,
    weight_version: &'static str,
    piece_tokens: u64,
}

const BASE: Scope = Scope {
    workspace: "kandy",
    model: "hist-7b",
    adapter: None,
    weight_version: "v1",
    piece_tokens: 3,
};

fn blocks(scope: Scope, prompt: &str) -> Vec<Piece> {
    chain(scope, prompt).blocks
}

fn chain(scope: Scope, prompt: &str) -> PieceChain {
    let adapter: Option<AdapterName> = scope.adapter.map(|name| name.parse().unwrap());
    let scope = ChainScope {
        workspace: &scope.workspace.parse().unwrap(),
        model: &scope.model.parse().unwrap(),
        adapter: adapter.as_ref(),
        weight_version: &scope.weight_version.parse().unwrap(),
        piece_tokens: TokenCount::new(scope.piece_tokens),
    };
    piece_chain(&scope, prompt)
}

#[test]
fn only_complete_pieces_have_a_block() {
    struct Case {
        prompt: &'static str,
        tokens: u64,
        blocks: usize,
    }
    let case = |prompt, tokens, blocks| Case {
        prompt,
        tokens,
        blocks,
    };
    let cases = [
        case("", 0, 0),
        case(" \n ", 0, 0),
        case("a b", 2, 0),
        case("a b c", 3, 1),
        case("  a  b\tc d ", 4, 1),
        case("ä ö ü é è ê", 6, 2),
    ];
    for case in cases {
        let chain = chain(BASE, case.prompt);
        assert_eq!(chain.prompt_tokens.get(), case.tokens, "{:?}", case.prompt);
        assert_eq!(chain.blocks.len(), case.blocks, "{:?}", case.prompt);
    }
}

#[test]
fn a_key_binds_its_whole_scope() {
    let others = [
        Scope {
            workspace: "galle",
            ..BASE
        },
        Scope {
            model: "hist-8b",
            ..BASE
        },
        Scope {
            adapter: Some("parts"),
            ..BASE
        },
        Scope {
            weight_version: "v2",
            ..BASE
        },
        Scope {
            piece_tokens: 6,
            ..BASE
        },
    ];
    let base = blocks(BASE, &words(12));
    for other in others {
        for piece in blocks(other, &words(12)) {
            assert!(base.iter().all(|other_piece| other_piece.key != piece.key));
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(ProptestConfig::default().cases, 3))]

    /// Two prompts share exactly the keys of the complete pieces before their first difference.
    #[test]
    fn prompts_share_exactly_the_keys_of_their_common_prefix(
        common in proptest::collection::vec("[a-c]{1,3}", 0..20),
        left in proptest::collection::vec("[x]{1,2}", 0..9),
        right in proptest::collection::vec("[y]{1,2}", 0..9),
    ) {
        let join = |tail: &[String]| [common.as_slice(), tail].concat().join(" ");
        let left = blocks(BASE, &join(&left));
        let right = blocks(BASE, &join(&right));
        let shared = left.iter().zip(&right).take_while(|(a, b)| a == b).count();
        prop_assert!(shared >= (common.len() / 3).min(left.len()).min(right.len()));
        prop_assert!(shared <= common.len() / 3);
        for (a, b) in left.iter().zip(&right).skip(shared) {
            prop_assert_ne!(a.key, b.key);
        }
    }
}
