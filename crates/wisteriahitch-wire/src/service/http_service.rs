//! Plain services over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use wisteriahitch_types::{ByteCount, DurationUs, RequestId};

use super::headers::{NOT_RUN, REQUEST_ID, WORKSPACE, pass_to_caller, pass_to_service};
use super::{
    Service, ServiceError, ServiceErrorKind, ServiceLoad, ServiceRequest, ServiceResponse,
};
use crate::http_client::{HttpClient, HttpClientOptions, HttpError, HttpErrorKind};

const LOAD_PATH: &str = "/load";

/// Sets how plain services are reached.
#[derive(Clone, Debug)]
pub struct HttpServiceOptions {
    /// Longest wait for a load report.
    pub load_timeout_us: DurationUs,
    /// Largest load report that is taken.
    pub load_limit_bytes: ByteCount,
    /// Bounds on the connections.
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

/// Reaches plain services over HTTP, sending each request once.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
    options: HttpServiceOptions,
}

impl HttpService {
    /// Builds a client without connections.
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
            .map_err(|error| sort_failure(&error))?;
        check_answer(&response, &id)?;
        Ok(ServiceResponse {
            status: response.status(),
            headers: pass_to_caller(response.headers()),
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
            .map_err(|error| sort_failure(&error))?;
        if response.status() != StatusCode::OK {
            return Err(nonsense(format!(
                "the load report is {}",
                response.status()
            )));
        }
        serde_json::from_slice(response.body()).map_err(|error| nonsense(error.to_string()))
    }
}

fn to_http(request: ServiceRequest) -> Result<Request<Bytes>, ServiceError> {
    if request.method == Method::CONNECT || !request.path_and_query.starts_with('/') {
        return Err(not_sent("only a method with a path can be passed on"));
    }
    let uri = Uri::try_from(request.path_and_query).map_err(|error| not_sent(error.to_string()))?;
    let id = header_value(request.request_id.as_str())?;
    let workspace = header_value(request.workspace.as_str())?;
    let mut headers = pass_to_service(&request.headers);
    headers.insert(REQUEST_ID, id);
    headers.insert(WORKSPACE, workspace);
    let mut outgoing = Request::new(request.body);
    *outgoing.method_mut() = request.method;
    *outgoing.uri_mut() = uri;
    *outgoing.headers_mut() = headers;
    Ok(outgoing)
}

/// Refuses another request's answer, and takes the service's own word that it ran nothing.
fn check_answer(response: &Response<Bytes>, id: &RequestId) -> Result<(), ServiceError> {
    // A service that mixes up its connections would hand one caller another's answer; only the id
    // that it echoes can show it, so the id is checked before anything else is believed.
    let ids = response.headers().get_all(REQUEST_ID);
    if ids
        .iter()
        .any(|echoed| echoed.as_bytes() != id.as_str().as_bytes())
    {
        return Err(nonsense("the answer is another request's"));
    }
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Err(nonsense("the service switched protocols unasked"));
    }
    let says_not_run = response.headers().get(NOT_RUN).is_some_and(|v| v == "1");
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && says_not_run {
        let detail = "the service said that it did not run the request";
        return Err(ServiceError::new(ServiceErrorKind::NotRun, detail));
    }
    Ok(())
}

fn sort_failure(error: &HttpError) -> ServiceError {
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

fn nonsense(detail: impl Into<String>) -> ServiceError {
    ServiceError::new(ServiceErrorKind::Nonsense, detail)
}
