use expect_test::expect;
use wisteriahitch_types::{BlockKey, ByteCount, Generation, TokenCount};
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
use wisteriahitch_wire::store::{HttpStore, ReserveRequest, Reserved, Store, StoreErrorKind, Tier};

use crate::canned::{CannedServer, Reply, refusing_address};

const KEY: BlockKey = BlockKey::from_bytes([7; 16]);

fn store() -> HttpStore {
    HttpStore::new(HttpClient::new(HttpClientOptions::default()))
}

fn reservation() -> ReserveRequest {
    ReserveRequest {
        key: KEY,
        tokens: TokenCount::new(2000),
        bytes: ByteCount::new(4096),
        weight_version: "v1".parse().unwrap(),
        tier: Tier::Memory,
        workspace: "kandy-1".parse().unwrap(),
    }
}

#[tokio::test]
async fn reservations_distinguish_new_from_existing_blocks() {
    struct Case {
        status: &'static str,
        body: &'static str,
        expected: Result<Reserved, StoreErrorKind>,
    }
    let generation = Generation::new(5);
    let cases = [
        Case {
            status: "201 Created",
            body: r#"{"generation":5}"#,
            expected: Ok(Reserved::Granted(generation)),
        },
        Case {
            status: "200 OK",
            body: r#"{"generation":5,"state":"readable"}"#,
            expected: Ok(Reserved::AlreadyReadable(generation)),
        },
        Case {
            status: "200 OK",
            body: r#"{"generation":5,"state":"writing"}"#,
            expected: Ok(Reserved::InProgress),
        },
        Case {
            status: "200 OK",
            body: r#"{"generation":5}"#,
            expected: Err(StoreErrorKind::Nonsense),
        },
        Case {
            status: "201 Created",
            body: "{}",
            expected: Err(StoreErrorKind::Nonsense),
        },
        Case {
            status: "507 Full",
            body: "",
            expected: Err(StoreErrorKind::Full),
        },
        Case {
            status: "410 Gone",
            body: "",
            expected: Err(StoreErrorKind::Gone),
        },
        Case {
            status: "503 Unavailable",
            body: "",
            expected: Err(StoreErrorKind::Lost),
        },
        Case {
            status: "400 Bad Request",
            body: "",
            expected: Err(StoreErrorKind::Nonsense),
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![Reply::complete(case.status, "", case.body)]).await;
        let reserved = store().reserve(server.address, reservation()).await;
        let reserved = reserved.map_err(|error| error.kind());
        assert_eq!(reserved, case.expected, "{} {}", case.status, case.body);
    }
}

#[tokio::test]
async fn failures_are_classified_as_lost_or_malformed() {
    struct Case {
        name: &'static str,
        reply: Reply,
        kind: StoreErrorKind,
    }
    let cases = [
        Case {
            name: "closed without an answer",
            reply: Reply::close(""),
            kind: StoreErrorKind::Lost,
        },
        Case {
            name: "truncated answer",
            reply: Reply::close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"),
            kind: StoreErrorKind::Lost,
        },
        Case {
            name: "not HTTP",
            reply: Reply::close("ready.\r\n\r\n"),
            kind: StoreErrorKind::Nonsense,
        },
        Case {
            name: "not JSON",
            reply: Reply::complete("200 OK", "", "ready"),
            kind: StoreErrorKind::Nonsense,
        },
    ];
    for case in cases {
        let server = CannedServer::start(vec![case.reply]).await;
        let error = store().report(server.address).await.unwrap_err();
        assert_eq!(error.kind(), case.kind, "{}", case.name);
    }
    let error = store().report(refusing_address()).await.unwrap_err();
    assert_eq!(error.kind(), StoreErrorKind::Lost);
}

#[tokio::test]
async fn calls_have_the_documented_paths() {
    let server = CannedServer::start(vec![Reply::complete("200 OK", "", "")]).await;
    let (store, address) = (store(), server.address);
    let generation = Generation::new(5);
    let incarnation = "s1".parse().unwrap();
    // The server's empty answers are valid only for calls without a result.
    store.pin(address, KEY, &incarnation).await.unwrap_err();
    store.list(address).await.unwrap_err();
    store.unpin(address, KEY, "p1").await.unwrap();
    store.free(address, KEY, generation).await.unwrap();
    let moved = store.move_to(address, KEY, generation, Tier::Disk);
    moved.await.unwrap();
    let url = store.block_url("127.0.0.1:8000".parse().unwrap(), KEY);
    let mut lines: Vec<String> = Vec::new();
    for seen in server.requests() {
        let (head, body) = seen.split_once("\r\n\r\n").unwrap();
        lines.push(format!("{} {body}", head.lines().next().unwrap()));
    }
    lines.push(url);
    expect![[r#"
        POST /v1/blocks/07070707070707070707070707070707/pins HTTP/1.1 {"incarnation":"s1"}
        GET /v1/blocks HTTP/1.1 
        DELETE /v1/blocks/07070707070707070707070707070707/pins/p1 HTTP/1.1 
        DELETE /v1/blocks/07070707070707070707070707070707?generation=5 HTTP/1.1 
        POST /v1/blocks/07070707070707070707070707070707/move HTTP/1.1 {"generation":5,"tier":"disk"}
        http://127.0.0.1:8000/v1/blocks/07070707070707070707070707070707"#]]
    .assert_eq(&lines.join("\n"));
}
