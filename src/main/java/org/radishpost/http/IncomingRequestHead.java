package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The request line and header section as received from a caller.
 *
 * @param version the HTTP version
 * @param method the method
 * @param target the path and the query
 * @param headers the header fields
 * @param remoteAddress the address of the caller; empty if the connection no longer has it
 */
record IncomingRequestHead(
    HttpVersion version,
    String method,
    String target,
    HttpHeaders headers,
    Optional<InetSocketAddress> remoteAddress) {
  static IncomingRequestHead of(HttpServerRequest request) {
    return new IncomingRequestHead(
        request.version(),
        request.method().name(),
        request.uri(),
        request.requestHeaders(),
        Optional.ofNullable(request.remoteAddress()));
  }

  static IncomingRequestHead of(HttpRequest request, Channel channel) {
    return new IncomingRequestHead(
        request.protocolVersion(),
        request.method().name(),
        request.uri(),
        request.headers(),
        Optional.ofNullable((InetSocketAddress) channel.remoteAddress()));
  }
}
