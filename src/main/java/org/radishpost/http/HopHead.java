package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.radishpost.lib.Digest;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.ServiceName;

/**
 * What an entry VM tells the owner of a pool about a call, in header fields.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param pool the pool
 * @param gateway the gateway that the entry VM matched
 * @param route the route that the entry VM matched
 * @param leftMillis the time that is left, in milliseconds
 * @param depth how many calls lie above the call
 * @param retriesLeft the retries that are left for the chain below
 * @param fingerprint what makes the request recognizable
 */
record HopHead(
    String method,
    String target,
    PoolId pool,
    String gateway,
    String route,
    long leftMillis,
    int depth,
    int retriesLeft,
    Optional<Digest> fingerprint) {
  private static final String SEPARATOR = "\t";
  private static final int POOL_PARTS = 5;

  /** Returns the text that is proved. */
  String text() {
    return String.join(
        "\n",
        method,
        target,
        poolText(),
        gateway + SEPARATOR + route,
        String.valueOf(leftMillis),
        String.valueOf(depth),
        String.valueOf(retriesLeft),
        fingerprint.map(Digest::hex).orElse(""));
  }

  void write(HttpHeaders headers) {
    headers.set(HeaderNames.HOP_POOL, poolText());
    headers.set(HeaderNames.HOP_ROUTE, gateway + SEPARATOR + route);
    headers.set(HeaderNames.DEADLINE_MILLIS, leftMillis);
    headers.set(HeaderNames.DEPTH, depth);
    headers.set(HeaderNames.RETRIES_LEFT, retriesLeft);
    fingerprint.ifPresent(digest -> headers.set(HeaderNames.HOP_FINGERPRINT, digest.hex()));
  }

  /** Reads the fields; empty when one is missing or has another form. */
  static Optional<HopHead> read(String method, String target, HttpHeaders headers) {
    try {
      String[] pool = headers.get(HeaderNames.HOP_POOL, "").split(SEPARATOR, -1);
      String[] route = headers.get(HeaderNames.HOP_ROUTE, "").split(SEPARATOR, -1);
      if (pool.length != POOL_PARTS || route.length != 2) {
        return Optional.empty();
      }
      return Optional.of(
          new HopHead(
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
              Optional.ofNullable(headers.get(HeaderNames.HOP_FINGERPRINT)).map(Digest::new)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private String poolText() {
    return String.join(
        SEPARATOR,
        pool.gateway().value(),
        pool.service().value(),
        pool.place().region().value(),
        pool.place().zone().value(),
        String.valueOf(pool.shard()));
  }
}
