package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The names of header fields, lower case, and which of them end at the next hop. */
public final class HeaderNames {
  /** The time that is left for a call, in milliseconds. */
  public static final String DEADLINE_MILLIS = "radishpost-deadline-ms";

  /** How many calls lie above a call in its chain. */
  public static final String DEPTH = "radishpost-depth";

  /** How many retries are left for a call and all calls below it. */
  public static final String RETRIES_LEFT = "radishpost-retries-left";

  /** What a refusal says: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "radishpost-outcome";

  /** What a target says of its load. */
  public static final String LOAD = "radishpost-load";

  /** The idempotency key of a call. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Set on an answer that repeats the recorded outcome of an earlier attempt. */
  public static final String REPLAYED = "idempotency-replayed";

  /** The beginning of the names that only VMs use between each other. */
  public static final String HOP_PREFIX = "radishpost-hop-";

  /** The VM that sends a call to another. */
  public static final String HOP_VM = HOP_PREFIX + "vm";

  /** The name of the session that proves a call. */
  public static final String HOP_SESSION = HOP_PREFIX + "session";

  /** The number of a call on the session between two VMs. */
  public static final String HOP_SEQUENCE = HOP_PREFIX + "sequence";

  /** The proof that the sender knows the session's key. */
  public static final String HOP_MAC = HOP_PREFIX + "proof";

  /** The point in time of the sender, so that time lines keep the order of causes. */
  public static final String HOP_STAMP = HOP_PREFIX + "stamp";

  /** The pool that a call is meant for. */
  public static final String HOP_POOL = HOP_PREFIX + "pool";

  /** The gateway and the route that the entry VM matched. */
  public static final String HOP_ROUTE = HOP_PREFIX + "route";

  /** The fingerprint of the request. */
  public static final String HOP_FINGERPRINT = HOP_PREFIX + "fingerprint";

  /** How a call ended at the owner of the pool. */
  public static final String HOP_RESULT = HOP_PREFIX + "result";

  /** The view of the pool at the end of a call. */
  public static final String HOP_VIEW = HOP_PREFIX + "view";

  /** Marks an answer that this program wrote; taken off before the answer leaves. */
  static final String WRITTEN_MARKER = HOP_PREFIX + "written";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "transfer-encoding",
          "upgrade",
          "expect");

  /** Fields that decide about a call, so that Connection cannot take them off. */
  private static final Set<String> PROTECTED =
      Set.of(
          "host",
          "content-length",
          "content-type",
          "cache-control",
          IDEMPOTENCY_KEY,
          OUTCOME,
          LOAD,
          REPLAYED,
          DEADLINE_MILLIS,
          DEPTH,
          RETRIES_LEFT);

  private HeaderNames() {}

  /** Tells whether a field belongs to one connection and is not passed on. */
  public static boolean isHopByHop(String name) {
    return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
  }

  /** Returns the names that the Connection fields list, lower case. */
  static Set<String> connectionOptions(HttpHeaders headers) {
    if (!headers.contains(HttpHeaderNames.CONNECTION)) {
      return Set.of();
    }
    return headers.getAll(HttpHeaderNames.CONNECTION).stream()
        .flatMap(value -> Stream.of(value.split(",")))
        .map(name -> name.strip().toLowerCase(Locale.ROOT))
        .filter(name -> !PROTECTED.contains(name))
        .collect(Collectors.toSet());
  }

  /** Tells whether a field is not passed on, given the names that the Connection fields list. */
  static boolean isNotForwarded(String name, Set<String> connectionOptions) {
    String lower = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP.contains(lower) || connectionOptions.contains(lower);
  }

  /** Tells whether a field is for VMs only. */
  public static boolean isBetweenVms(String name) {
    return name.regionMatches(true, 0, HOP_PREFIX, 0, HOP_PREFIX.length());
  }
}
