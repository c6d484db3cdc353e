//! HTTP client of plain services.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use wisteriahitch_types::{ByteCount, DurationUs, RequestId};

use super::headers::{NOT_RUN, REQUEST_ID, WORKSPACE, headers_for_caller, headers_for_service};
use super::{
    Service, ServiceError, ServiceErrorKind, ServiceLoad, ServiceRequest, ServiceResponse,
};
use crate::http_client::{HttpClient, HttpClientOptions, HttpError, HttpErrorKind};

const LOAD_PATH: &str = "/load";

/// Timeouts and limits of the client of plain services.
#[derive(Clone, Debug)]
pub struct HttpServiceOptions {
    /// Maximum wait for a load report.
    pub load_timeout_us: DurationUs,
    /// Maximum size of a load report.
    pub load_limit_bytes: ByteCount,
    /// Limits on the connections.
    pub connections: HttpClientOptions,
}

impl Default for HttpServiceOptions {
    fn default() -> Self {
        Self {
            load_timeout_us: DurationUs::from_ms(1_000),
            load_limit_bytes: ByteCount::new(64_000),
            connections: HttpClientOptions::default(),
        }
    }
}

/// HTTP client of plain services. It sends each request at most once.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
    options: HttpServiceOptions,
}

impl HttpService {
    /// Builds a client; connections are opened as they are needed.
    pub fn new(options: HttpServiceOptions) -> Self {
        Self {
            client: HttpClient::new(options.connections),
            options,
        }
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(
        &self,
        address: SocketAddr,
        request: ServiceRequest,
    ) -> Result<ServiceResponse, ServiceError> {
        let timeout_us = request.timeout_us;
        let limit_bytes = request.answer_limit_bytes;
        let id = request.request_id.clone();
        let outgoing = to_http(request)?;
        let response = self
            .client
            .fetch(address, outgoing, timeout_us, limit_bytes)
            .await
            .map_err(|error| classify_failure(&error))?;
        check_answer(&response, &id)?;
        Ok(ServiceResponse {
            status: response.status(),
            headers: headers_for_caller(response.headers()),
            body: response.into_body(),
        })
    }

    async fn load(&self, address: SocketAddr) -> Result<ServiceLoad, ServiceError> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static(LOAD_PATH);
        let timeout_us = self.options.load_timeout_us;
        let limit_bytes = self.options.load_limit_bytes;
        let response = self
            .client
            .fetch(address, request, timeout_us, limit_bytes)
            .await
            .map_err(|error| classify_failure(&error))?;
        if response.status() != StatusCode::OK {
            return Err(malformed(format!(
                "the request for the load report was answered with status {}",
                response.status()
            )));
        }
        serde_json::from_slice(response.body()).map_err(|error| malformed(error.to_string()))
    }
}

fn to_http(request: ServiceRequest) -> Result<Request<Bytes>, ServiceError> {
    if request.method == Method::CONNECT || !request.path_and_query.starts_with('/') {
        return Err(not_sent(
            "cannot forward a CONNECT request or a target that does not start with /",
        ));
    }
    let uri = Uri::try_from(request.path_and_query).map_err(|error| not_sent(error.to_string()))?;
    let id = header_value(request.request_id.as_str())?;
    let workspace = header_value(request.workspace.as_str())?;
    let mut headers = headers_for_service(&request.headers);
    headers.insert(REQUEST_ID, id);
    headers.insert(WORKSPACE, workspace);
    let mut outgoing = Request::new(request.body);
    *outgoing.method_mut() = request.method;
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

/// Rejects an answer to another request, and detects the service's statement that it did not run
/// the request.
fn check_answer(response: &Response<Bytes>, id: &RequestId) -> Result<(), ServiceError> {
    // A faulty service that mixes up its connections would give one caller the answer to another's
    // request. Only the echoed id shows this, so it is checked before anything else.
    let ids = response.headers().get_all(REQUEST_ID);
    if ids
        .iter()
        .any(|echoed| echoed.as_bytes() != id.as_str().as_bytes())
    {
        return Err(malformed(
            "the x-request-id in the answer is another request's",
        ));
    }
    let says_not_run = response.headers().get(NOT_RUN).is_some_and(|v| v == "1");
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        let detail = "the service stated that it did not run the request";
        return Err(ServiceError::new(ServiceErrorKind::NotRun, detail));
    }
    Ok(())
}

fn classify_failure(error: &HttpError) -> ServiceError {
    let kind = match error.kind() {
        HttpErrorKind::NotSent => ServiceErrorKind::NotSent,
        HttpErrorKind::Timeout => ServiceErrorKind::Timeout,
        HttpErrorKind::Lost => ServiceErrorKind::Lost,
        HttpErrorKind::Malformed => ServiceErrorKind::Nonsense,
        HttpErrorKind::TooLarge => ServiceErrorKind::TooLarge,
    };
    ServiceError::new(kind, error.to_string())
}

fn header_value(text: &str) -> Result<HeaderValue, ServiceError> {
    HeaderValue::from_str(text).map_err(|error| not_sent(error.to_string()))
}

fn not_sent(detail: impl Into<String>) -> ServiceError {
    ServiceError::new(ServiceErrorKind::NotSent, detail)
}

fn malformed(detail: impl Into<String>) -> ServiceError {
    ServiceError::new(ServiceErrorKind::Nonsense, detail)
}
