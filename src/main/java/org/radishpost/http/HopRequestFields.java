package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.Stream;
import org.radishpost.lib.Digest;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.ServiceName;

/**
 * The properties of a call that an entry VM sends to the owner of a pool in header fields.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param pool the pool
 * @param gateway the gateway that the entry VM matched
 * @param route the route that the entry VM matched
 * @param remainingMillis the remaining time of the call, in milliseconds
 * @param depth the number of calls above this call in its chain
 * @param retriesLeft the remaining retries of this call and all calls below it
 * @param fingerprint the digest by which equal requests are recognized
 * @param idempotencyKey the idempotency key that the caller sent
 * @param bodyLength the length of the body as text; empty if unknown
 */
record HopRequestFields(
    String method,
    String target,
    PoolId pool,
    String gateway,
    String route,
    long remainingMillis,
    int depth,
    int retriesLeft,
    Optional<Digest> fingerprint,
    Optional<String> idempotencyKey,
    String bodyLength) {
  private static final String SEPARATOR = " ";
  private static final int POOL_PART_COUNT = 5;

  /** Returns the text that the MAC is computed over. */
  String authenticatedText() {
    return String.join(
        "\n",
        method,
        target,
        poolText(),
        routeText(),
        String.valueOf(remainingMillis),
        String.valueOf(depth),
        String.valueOf(retriesLeft),
        fingerprint.map(Digest::hex).orElse(""),
        bodyLength,
        idempotencyKey.map(key -> "key " + key).orElse(""));
  }

  /** Sets the header fields that {@link #read} parses. */
  void writeTo(HttpHeaders headers) {
    headers.set(HeaderNames.HOP_POOL, poolText());
    headers.set(HeaderNames.HOP_ROUTE, routeText());
    headers.set(HeaderNames.DEADLINE_MILLIS, remainingMillis);
    headers.set(HeaderNames.DEPTH, depth);
    headers.set(HeaderNames.RETRIES_LEFT, retriesLeft);
    fingerprint.ifPresent(digest -> headers.set(HeaderNames.HOP_FINGERPRINT, digest.hex()));
  }

  /** Parses the header fields. Returns empty if a field is missing or malformed. */
  static Optional<HopRequestFields> read(String method, String target, HttpHeaders headers) {
    try {
      String[] pool = decodeParts(headers.get(HeaderNames.HOP_POOL, ""));
      String[] route = decodeParts(headers.get(HeaderNames.HOP_ROUTE, ""));
      if (pool.length != POOL_PART_COUNT || route.length != 2) {
        return Optional.empty();
      }
      return Optional.of(
          new HopRequestFields(
              method,
              target,
              new PoolId(
                  new GatewayName(pool[0]),
                  new ServiceName(pool[1]),
                  Place.of(pool[2], pool[3]),
                  Integer.parseInt(pool[4])),
              route[0],
              route[1],
              Long.parseLong(headers.get(HeaderNames.DEADLINE_MILLIS, "")),
              Integer.parseInt(headers.get(HeaderNames.DEPTH, "")),
              Integer.parseInt(headers.get(HeaderNames.RETRIES_LEFT, "")),
              Optional.ofNullable(headers.get(HeaderNames.HOP_FINGERPRINT)).map(Digest::new),
              Optional.ofNullable(headers.get(HeaderNames.IDEMPOTENCY_KEY)),
              headers.get("content-length", "")));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Returns a name in the characters that are allowed in a header field. */
  static String encode(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  /**
   * Returns the name that was encoded.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static String[] decodeParts(String text) {
    return Stream.of(text.split(SEPARATOR, -1))
        .map(HopRequestFields::decode)
        .toArray(String[]::new);
  }

  private String routeText() {
    return encode(gateway) + SEPARATOR + encode(route);
  }

  private String poolText() {
    return String.join(
        SEPARATOR,
        encode(pool.gateway().value()),
        encode(pool.service().value()),
        encode(pool.place().region().value()),
        encode(pool.place().zone().value()),
        String.valueOf(pool.shard()));
  }
}
