//! Texts of a small site: its configuration and the entries of its replicas.

use std::net::SocketAddr;

pub const HOST: &str = "ficu95.example";

/// A route to a service; `more` holds further fields, such as `,"resumable":true`.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, more: &str) -> String {
    format!(
        r#"{{"name":"r{}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":150,"priority":2,"service":"{service}","maxAttempts":2{more}}}"#,
        prefix.replace('/', "-")
    )
}

/// A plain service.
pub fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":96,"protocol":"h1","tls":false}}"#
    )
}

/// A configuration.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// The entry of a replica that is ready; `more` holds further fields.
pub fn entry(service: &str, address: SocketAddr, more: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"plv-a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1{more}}}"#
    )
}
