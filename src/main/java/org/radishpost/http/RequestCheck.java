package org.radishpost.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Checks the head of a request and makes the head that is passed on. */
final class RequestCheck {
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private static final Set<String> BODILESS = Set.of("GET", "HEAD");

  private RequestCheck() {}

  /** Returns what is wrong with the head, if anything. */
  static Optional<Problem> fault(IncomingHead request, EdgeDialect dialect) {
    HttpHeaders headers = request.headers();
    if (!request.version().equals(HttpVersion.HTTP_1_1)) {
      return bad("Use HTTP/1.1.");
    }
    if (!METHODS.contains(request.method())) {
      return bad("Use one of the methods " + String.join(", ", METHODS) + ".");
    }
    if (headers.getAll("host").size() != 1) {
      return bad("Send one Host field.");
    }
    if (!request.target().startsWith("/")) {
      return bad("Send the path in origin form, with the host in the Host field.");
    }
    if (path(request.target(), dialect).isEmpty()) {
      return bad("Send a path without empty or dot segments, escaped slashes and bad characters.");
    }
    if (headers.getAll(HeaderNames.IDEMPOTENCY_KEY).size() > 1) {
      return bad("Send one Idempotency-Key.");
    }
    if (EdgeNumbers.malformed(headers, dialect)) {
      return bad("Send the radishpost fields as whole numbers.");
    }
    if (bodiless(request) && bodyBytes(headers) != 0) {
      return bad("Send a body with POST, PUT or PATCH.");
    }
    if (headers.contains("content-length") && headers.contains("transfer-encoding")) {
      return bad("Send either Content-Length or Transfer-Encoding.");
    }
    List<String> codings = headers.getAll("transfer-encoding");
    if (codings.size() > 1 || codings.size() == 1 && !codings.get(0).equalsIgnoreCase("chunked")) {
      return bad("Use the transfer coding chunked alone.");
    }
    if (headers.contains("upgrade") && headers.containsValue("connection", "upgrade", true)) {
      return bad("Upgrades are not supported.");
    }
    return Optional.empty();
  }

  /** Tells whether the request has a method without a body. */
  static boolean bodiless(IncomingHead request) {
    return BODILESS.contains(request.method());
  }

  /** Returns the path that routes are matched with, without the query. */
  static Optional<String> path(String target, EdgeDialect dialect) {
    if (dialect.normalizesPath()) {
      return RequestTarget.path(target);
    }
    int query = target.indexOf('?');
    return Optional.of(query < 0 ? target : target.substring(0, query));
  }

  /** Returns the host in lower case without the port. */
  static String host(IncomingHead request) {
    String host = request.headers().get("host", "").toLowerCase(Locale.ROOT);
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }

  /** Returns the length of the body, 0 for none and -1 when it is not known. */
  static long bodyBytes(HttpHeaders headers) {
    if (headers.contains("transfer-encoding")) {
      return -1;
    }
    return Long.parseLong(headers.get("content-length", "0"));
  }

  /** Returns the head that is passed on. */
  static RequestHead onward(IncomingHead request, EdgeDialect dialect) {
    HttpHeaders kept = endToEnd(request.headers());
    if (dialect.addsForwardedFields()) {
      forwarded(request, kept);
    }
    return new RequestHead(request.method(), request.target(), kept);
  }

  /** Returns the fields that are passed on. */
  static HttpHeaders endToEnd(HttpHeaders all) {
    Set<String> named = HeaderNames.namedInConnection(all);
    HttpHeaders kept = new DefaultHttpHeaders();
    for (Map.Entry<String, String> field : all) {
      String name = field.getKey();
      if (!HeaderNames.betweenVms(name) && !HeaderNames.endsHere(name, named)) {
        kept.add(name, field.getValue());
      }
    }
    return kept.remove("trailer");
  }

  private static void forwarded(IncomingHead request, HttpHeaders kept) {
    if (request.peer().isEmpty()) {
      return;
    }
    String caller = request.peer().get().getAddress().getHostAddress();
    append(kept, "x-forwarded-for", caller);
    kept.set("x-forwarded-proto", "http");
    append(kept, "via", "1.1 radishpost");
  }

  private static void append(HttpHeaders headers, String name, String value) {
    List<String> before = headers.getAll(name);
    headers.set(name, before.isEmpty() ? value : String.join(", ", before) + ", " + value);
  }

  private static Optional<Problem> bad(String detail) {
    return Optional.of(Problems.badRequest(detail));
  }
}
