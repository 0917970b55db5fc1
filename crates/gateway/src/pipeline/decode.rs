//! Filter: reads the head of a request.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use ntex::web::HttpRequest;

use super::refusal::{Reason, Refusal, Step};
use crate::protocol::RequestMeta;
use crate::state::GatewayState;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const EXPECT: HeaderName = http::header::EXPECT;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    CONTENT_LENGTH,
    EXPECT,
];

/// Whether a header applies to a single connection, or is set anew for each.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

/// Head of a request, decoded.
#[derive(Debug)]
pub struct Decoded {
    /// Request id.
    pub id: String,
    /// Control headers of the request.
    pub meta: RequestMeta,
    /// Host that the request names, without the port, in lower case.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Size of the head, see [`head_bytes`].
    pub head_bytes: usize,
}

/// Decodes the head. The caller's control headers and those of its connection are not forwarded.
pub fn decode(state: &GatewayState, request: &HttpRequest) -> Result<Decoded, Refusal> {
    let uri = request.uri();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    decode_head(state, request.method(), path, &convert(request))
}

/// Decodes a head whose headers are `all`.
pub fn decode_head(
    state: &GatewayState,
    method: &Method,
    path: &str,
    all: &HeaderMap,
) -> Result<Decoded, Refusal> {
    let malformed = |detail: String| Refusal::new(Step::Decode, Reason::MalformedHead, detail);
    let meta = state.platform.read_request(all).map_err(malformed)?;
    let id = meta
        .id
        .clone()
        .filter(|id| !id.is_empty())
        .ok_or_else(|| malformed("no request id".to_owned()))?;
    let host = read_host(all).map_err(|detail| malformed(detail.to_owned()))?;
    Ok(Decoded {
        id,
        meta,
        host,
        method: method.clone(),
        path: path.to_owned(),
        headers: forwarded_headers(state, all),
        head_bytes: head_bytes(method, path, all),
    })
}

/// The host that a head names, without the port, in lower case. With several `Host` lines it would depend on the reader which
/// of them counts (RFC 9112, section 3.2).
fn read_host(all: &HeaderMap) -> Result<String, &'static str> {
    let mut lines = all.get_all(HOST).iter();
    match (lines.next(), lines.next()) {
        (Some(host), None) => {
            let host = host.to_str().map_err(|_| "the host can't be read")?;
            Ok(without_port(host).to_ascii_lowercase())
        }
        (None, _) => Err("no host"),
        (Some(_), Some(_)) => Err("several hosts"),
    }
}

/// Size of a head in bytes, as it is if it has no spaces that could be left out.
fn head_bytes(method: &Method, path: &str, all: &HeaderMap) -> usize {
    let request_line = method.as_str().len() + path.len() + "  HTTP/1.1\r\n".len();
    let line =
        |name: &HeaderName, value: &HeaderValue| name.as_str().len() + value.len() + ": \r\n".len();
    let lines = all.iter().map(|(name, value)| line(name, value));
    request_line + lines.sum::<usize>() + "\r\n".len()
}

fn convert(request: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.append(name.clone(), value);
        }
    }
    headers
}

/// Headers that are forwarded to the replica.
fn forwarded_headers(state: &GatewayState, all: &HeaderMap) -> HeaderMap {
    let listed_in_connection = listed_in_connection(all);
    let mut headers = HeaderMap::with_capacity(all.len());
    for (name, value) in all {
        let is_forwarded = !is_hop_by_hop(name)
            && !listed_in_connection
                .iter()
                .any(|listed| listed == name.as_str())
            && state.platform.passes_to_replica(name);
        if is_forwarded {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Further hop-by-hop headers, which the caller's `Connection` header lists.
fn listed_in_connection(all: &HeaderMap) -> Vec<String> {
    let values = all.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
