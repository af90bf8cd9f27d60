use http::{HeaderMap, HeaderName, header};

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to one connection only, including those that the `Connection`
/// header names. Also removes `Content-Length`, which is set again when the message is sent.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    let named: Vec<HeaderName> = named.filter_map(|n| n.trim().parse().ok()).collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers.remove(header::CONTENT_LENGTH);
}
