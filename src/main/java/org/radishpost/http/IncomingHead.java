package org.radishpost.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The head of a request as a caller sent it.
 *
 * @param version the version of HTTP
 * @param method the method
 * @param target the path and the query
 * @param headers the fields
 * @param peer who sent it, if the connection still knows
 */
record IncomingHead(
    HttpVersion version,
    String method,
    String target,
    HttpHeaders headers,
    Optional<InetSocketAddress> peer) {
  static IncomingHead of(HttpServerRequest request) {
    return new IncomingHead(
        request.version(),
        request.method().name(),
        request.uri(),
        request.requestHeaders(),
        Optional.ofNullable(request.remoteAddress()));
  }

  static IncomingHead of(HttpRequest request, Channel channel) {
    return new IncomingHead(
        request.protocolVersion(),
        request.method().name(),
        request.uri(),
        request.headers(),
        Optional.ofNullable((InetSocketAddress) channel.remoteAddress()));
  }
}
