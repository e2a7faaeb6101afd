package org.radishpost.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Validates the head of a request and creates the head to forward. */
final class RequestValidator {
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private static final Set<String> BODILESS_METHODS = Set.of("GET", "HEAD");

  private RequestValidator() {}

  /** Returns the problem with the head, if any. */
  static Optional<Problem> validate(IncomingRequestHead request, EdgeProtocol protocol) {
    HttpHeaders headers = request.headers();
    if (!request.version().equals(HttpVersion.HTTP_1_1)) {
      return badRequest("Use HTTP/1.1.");
    }
    if (!METHODS.contains(request.method())) {
      return badRequest("Use one of the methods " + String.join(", ", METHODS) + ".");
    }
    if (headers.getAll("host").size() != 1) {
      return badRequest("Send exactly one Host field.");
    }
    if (!request.target().startsWith("/")) {
      return badRequest("Send the path in origin form, with the host in the Host field.");
    }
    if (routePath(request.target(), protocol).isEmpty()) {
      return badRequest(
          "Send a path without empty or dot segments, escaped slashes or invalid characters.");
    }
    if (headers.getAll(HeaderNames.IDEMPOTENCY_KEY).size() > 1) {
      return badRequest("Send at most one Idempotency-Key field.");
    }
    if (NumericHeaderFields.hasMalformed(headers, protocol)) {
      return badRequest("Send each radishpost field once, as an integer.");
    }
    if (hasBodilessMethod(request) && contentLength(headers) != 0) {
      return badRequest("Send a body only with POST, PUT or PATCH.");
    }
    if (headers.contains("content-length") && headers.contains("transfer-encoding")) {
      return badRequest("Send either Content-Length or Transfer-Encoding.");
    }
    List<String> codings = headers.getAll("transfer-encoding");
    if (codings.size() > 1 || codings.size() == 1 && !codings.get(0).equalsIgnoreCase("chunked")) {
      return badRequest("Use chunked as the only transfer coding.");
    }
    if (headers.contains("upgrade") && headers.containsValue("connection", "upgrade", true)) {
      return badRequest("Upgrades are not supported.");
    }
    return Optional.empty();
  }

  /** Returns whether the method of the request does not allow a body. */
  static boolean hasBodilessMethod(IncomingRequestHead request) {
    return BODILESS_METHODS.contains(request.method());
  }

  /** Returns the path to match routes with, without the query; empty if the path is invalid. */
  static Optional<String> routePath(String target, EdgeProtocol protocol) {
    if (protocol.normalizesPath()) {
      return RequestTarget.normalizedPath(target);
    }
    int query = target.indexOf('?');
    return Optional.of(query < 0 ? target : target.substring(0, query));
  }

  /** Returns the host in lower case, without the port. */
  static String host(IncomingRequestHead request) {
    String host = request.headers().get("host", "").toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }

  /**
   * Returns the length of the body in bytes: 0 if there is no body, -1 if the length is unknown.
   */
  static long contentLength(HttpHeaders headers) {
    if (headers.contains("transfer-encoding")) {
      return -1;
    }
    return Long.parseLong(headers.get("content-length", "0"));
  }

  /** Returns the head to forward. */
  static RequestHead forwardedHead(IncomingRequestHead request, EdgeProtocol protocol) {
    HttpHeaders forwarded = endToEndFields(request.headers());
    if (protocol.addsForwardedFields()) {
      addForwardedFields(request, forwarded);
    }
    return new RequestHead(request.method(), request.target(), forwarded);
  }

  /** Returns the header fields to forward. */
  static HttpHeaders endToEndFields(HttpHeaders headers) {
    Set<String> connectionOptions = HeaderNames.connectionOptions(headers);
    HttpHeaders forwarded = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : headers) {
      String name = field.getKey();
      if (!HeaderNames.isBetweenVms(name) && !HeaderNames.isNotForwarded(name, connectionOptions)) {
        forwarded.add(name, field.getValue());
      }
    }
    return forwarded.remove("trailer");
  }

  private static void addForwardedFields(IncomingRequestHead request, HttpHeaders forwarded) {
    if (request.remoteAddress().isEmpty()) {
      return;
    }
    String caller = request.remoteAddress().get().getAddress().getHostAddress();
    appendToList(forwarded, "x-forwarded-for", caller);
    forwarded.set("x-forwarded-proto", "http");
    appendToList(forwarded, "via", "1.1 radishpost");
  }

  private static void appendToList(HttpHeaders headers, String name, String value) {
    List<String> existing = headers.getAll(name);
    headers.set(name, existing.isEmpty() ? value : String.join(", ", existing) + ", " + value);
  }

  private static Optional<Problem> badRequest(String detail) {
    return Optional.of(Problems.badRequest(detail));
  }
}
