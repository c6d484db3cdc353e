//! The request id header of responses.

use http::{HeaderName, HeaderValue, Response};
use wisteriahitch_types::RequestId;

use super::body::ResponseBody;

/// Sets the `x-request-id` header of a response.
pub(crate) fn set_request_id(response: &mut Response<ResponseBody>, request_id: &RequestId) {
    const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}
