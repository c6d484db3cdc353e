//! Export and import of KV cache blocks to and from store VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use wisteriahitch_types::{ByteCount, DurationUs};
use wisteriahitch_wire::engine::{ExportRequest, ExportResult, ImportRequest};
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::cache::CachedBlock;
use super::completion::refuse;
use super::control::EngineFault;
use super::kv_block::{KvBlockError, block_bytes, build_block, check_block};
use super::state::EngineState;
use crate::store::HEADER_TRANSFER_CLASS;
use crate::util::{Answer, answer_json, answer_status};

/// Timeout of one transfer, which may queue for the store's link behind others.
const TRANSFER_TIMEOUT: DurationUs = DurationUs::from_ms(60_000);

/// Maximum length of the answer to a write.
const MAX_ANSWER_BYTES: ByteCount = ByteCount::new(64 * 1024);

/// Status and reason of a refused transfer.
type TransferRefusal = (StatusCode, String);

/// Writes a cached block to a store.
pub(super) async fn export(state: &Arc<EngineState>, request: ExportRequest) -> Answer {
    match try_export(state, request).await {
        Ok(result) => answer_json(StatusCode::OK, &result),
        Err((status, reason)) => refuse(status, false, &reason),
    }
}

/// Reads a block from a store, checks it and caches it.
pub(super) async fn import(state: &Arc<EngineState>, request: ImportRequest) -> Answer {
    match try_import(state, request).await {
        Ok(()) => answer_status(StatusCode::OK),
        Err((status, reason)) => {
            if status == StatusCode::UNPROCESSABLE_ENTITY {
                state.counters.lock().corrupt_imports += 1;
            }
            refuse(status, false, &reason)
        }
    }
}

async fn try_export(
    state: &EngineState,
    request: ExportRequest,
) -> Result<ExportResult, TransferRefusal> {
    let cached = state.cache.lock().get(request.key).cloned();
    let cached = cached.ok_or_else(|| refusal(StatusCode::GONE, "the block is not cached"))?;
    if cached.weight_version != request.weight_version {
        return Err(refusal(StatusCode::CONFLICT, "another weight version"));
    }
    let bytes = block_bytes(cached.tokens, state.options.kv_bytes_per_token);
    let content = build_block(request.key, cached.tokens, &cached.weight_version, bytes);
    let content = apply_export_fault(state, content);
    let exported = ExportResult {
        bytes: ByteCount::new(content.len() as u64),
        crc32c: crc32c::crc32c(&content),
    };
    let query = format!("generation={}", request.generation);
    let answer = call_store(state, &request.to, &query, StoreCall::Write(content));
    let response = answer.await?;
    let sealed = serde_json::from_slice::<ExportResult>(response.body());
    if sealed.ok().as_ref() != Some(&exported) {
        return Err(refusal(
            StatusCode::BAD_GATEWAY,
            "the store sealed another length",
        ));
    }
    let mut counters = state.counters.lock();
    counters.exported_blocks += 1;
    counters.exported_bytes += exported.bytes.get();
    Ok(exported)
}

async fn try_import(state: &EngineState, request: ImportRequest) -> Result<(), TransferRefusal> {
    let version = &request.weight_version;
    let other_version = || refusal(StatusCode::CONFLICT, "another weight version");
    if !state.models.lock().has_version(version) {
        return Err(other_version());
    }
    let is_of_version = |block: &CachedBlock| block.weight_version == *version;
    if state
        .cache
        .lock()
        .get(request.key)
        .is_some_and(is_of_version)
    {
        return Ok(());
    }
    let query = format!("generation={}&pin={}", request.generation, request.pin);
    let answer = call_store(state, &request.from, &query, StoreCall::Read(request.bytes));
    let response = answer.await?;
    let (bytes, crc32c) = (request.bytes, request.crc32c);
    let checked = check_block(response.body(), request.key, version, bytes, crc32c);
    let tokens = checked.map_err(refuse_corrupt)?;
    let block = CachedBlock {
        tokens,
        weight_version: version.clone(),
        model: None,
    };
    if !state.store_block(request.key, block) {
        return Err(other_version());
    }
    let mut counters = state.counters.lock();
    counters.imported_blocks += 1;
    counters.imported_tokens += tokens.get();
    Ok(())
}

/// Call to a store.
enum StoreCall {
    /// Writes this content.
    Write(Bytes),
    /// Reads content of at most this length.
    Read(ByteCount),
}

async fn call_store(
    state: &EngineState,
    url: &str,
    query: &str,
    call: StoreCall,
) -> Result<Response<Bytes>, TransferRefusal> {
    let (address, path) = parse_url(url)?;
    let (method, class, content, limit_bytes) = match call {
        StoreCall::Write(content) => (Method::PUT, "save", content, MAX_ANSWER_BYTES),
        StoreCall::Read(bytes) => (Method::GET, "wait", Bytes::new(), bytes),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("{path}?{query}"))
        .header(HEADER_TRANSFER_CLASS, class)
        .body(content)
        .map_err(|error| refusal(StatusCode::BAD_REQUEST, &error.to_string()))?;
    let client = &state.store_client;
    let answer = client.fetch(address, request, TRANSFER_TIMEOUT, limit_bytes);
    let response = answer.await.map_err(|error| http_error_refusal(&error))?;
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::GONE => Err(refusal(StatusCode::GONE, "the store has no such block")),
        status => {
            let reason = format!("the store answered {status}");
            Err((StatusCode::BAD_GATEWAY, reason))
        }
    }
}

fn parse_url(url: &str) -> Result<(SocketAddr, String), TransferRefusal> {
    let bad = || refusal(StatusCode::BAD_REQUEST, "not the URL of a block");
    let uri: Uri = url.parse().map_err(|_| bad())?;
    let address = uri.authority().ok_or_else(bad)?;
    let address = address.as_str().parse().map_err(|_| bad())?;
    Ok((address, uri.path().to_owned()))
}

/// Maps a failed call to a refusal: 502 if the answer was lost or its body broke off, 422 (corrupt)
/// if it is too long or malformed.
fn http_error_refusal(error: &HttpError) -> TransferRefusal {
    let status = match error.kind() {
        HttpErrorKind::TooLarge | HttpErrorKind::Malformed => StatusCode::UNPROCESSABLE_ENTITY,
        HttpErrorKind::NotSent | HttpErrorKind::Timeout | HttpErrorKind::Lost => {
            StatusCode::BAD_GATEWAY
        }
    };
    (status, error.to_string())
}

fn refuse_corrupt(error: KvBlockError) -> TransferRefusal {
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    (status, format!("the block is corrupt: {error:?}"))
}

/// Applies the current fault to the content of one export.
fn apply_export_fault(state: &EngineState, content: Bytes) -> Bytes {
    /// Offset of the block key in the header, in bytes.
    const KEY_OFFSET: usize = 4;

    match state.fault.lock().consume_for_export() {
        // The checksum is computed from the changed content, so that only the header reveals the
        // change.
        EngineFault::CorruptExport => {
            let mut changed = content.to_vec();
            changed[KEY_OFFSET] ^= 1;
            changed.into()
        }
        EngineFault::ShortExport => content.slice(..content.len() / 2),
        _ => content,
    }
}

fn refusal(status: StatusCode, reason: &str) -> TransferRefusal {
    (status, reason.to_owned())
}
