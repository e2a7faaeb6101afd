package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The names of header fields in lower case, and the rules for which of them are forwarded. */
public final class HeaderNames {
  /** The remaining time for a call, in milliseconds. */
  public static final String DEADLINE_MILLIS = "radishpost-deadline-ms";

  /** The depth of a call, which is the number of calls above it in its chain. */
  public static final String DEPTH = "radishpost-depth";

  /** The number of retries that remain for a call and all calls below it. */
  public static final String RETRIES_LEFT = "radishpost-retries-left";

  /** The outcome of a refused call: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME = "radishpost-outcome";

  /** The load report of a target. */
  public static final String LOAD = "radishpost-load";

  /** The idempotency key of a call. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Set on a response that repeats the recorded outcome of an earlier attempt. */
  public static final String REPLAYED = "idempotency-replayed";

  /** The prefix of the fields that are used only between VMs. */
  public static final String HOP_PREFIX = "radishpost-hop-";

  /** The ID of the VM that forwards a call. */
  public static final String HOP_VM = HOP_PREFIX + "vm";

  /** The ID of the link session whose key authenticates a call. */
  public static final String HOP_SESSION = HOP_PREFIX + "session";

  /** The sequence number of a call within its session. */
  public static final String HOP_SEQUENCE = HOP_PREFIX + "sequence";

  /**
   * The ID of a call among all calls that the sender has sent over a connection. The receiver
   * copies it to the response.
   */
  public static final String HOP_ID = HOP_PREFIX + "id";

  /** The message authentication code (MAC) of the call, computed with the key of the session. */
  public static final String HOP_MAC = HOP_PREFIX + "proof";

  /**
   * The hybrid clock timestamp of the sender. The receiver merges it into its own clock, which
   * keeps event timelines in causal order.
   */
  public static final String HOP_STAMP = HOP_PREFIX + "stamp";

  /** The pool that a call is sent to. */
  public static final String HOP_POOL = HOP_PREFIX + "pool";

  /** The gateway and the route that the entry VM matched. */
  public static final String HOP_ROUTE = HOP_PREFIX + "route";

  /** The fingerprint of the request. */
  public static final String HOP_FINGERPRINT = HOP_PREFIX + "fingerprint";

  /** How a call ended at the owner of the pool. */
  public static final String HOP_RESULT = HOP_PREFIX + "result";

  /** The state of the pool at the end of a call. */
  public static final String HOP_VIEW = HOP_PREFIX + "view";

  /** Marks a response that this program wrote. Removed before the response is sent. */
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

  /** Fields that affect how a call is handled. They are forwarded even if Connection lists them. */
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

  /** Returns whether a field applies to one connection only and is not forwarded. */
  public static boolean isHopByHop(String name) {
    return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
  }

  /** Returns the names that the Connection field lists, in lower case, without protected fields. */
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

  /** Returns whether a field is not forwarded, given the names listed in the Connection field. */
  static boolean isNotForwarded(String name, Set<String> connectionOptions) {
    String lower = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP.contains(lower) || connectionOptions.contains(lower);
  }

  /** Returns whether a field is used only between VMs. */
  public static boolean isBetweenVms(String name) {
    return name.regionMatches(true, 0, HOP_PREFIX, 0, HOP_PREFIX.length());
  }
}
