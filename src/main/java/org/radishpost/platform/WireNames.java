package org.radishpost.platform;

/** The names of the platform's header fields, paths, topics and keys. */
public final class WireNames {
  /** The environment variable that holds the path of the settings file. */
  public static final String SETTINGS_VARIABLE = "RADISHPOST_CONFIG";

  /** The path at which the platform's load balancer checks readiness. */
  public static final String READY_PATH = "/radishpost/ready";

  /** Request and response header: the ID of the request. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Request header: the remaining time in milliseconds until the caller's deadline. */
  public static final String DEADLINE_MILLIS = "X-Deadline-Ms";

  /** Request header: the ID of the only target that may run the request. */
  public static final String EXPECTED_TARGET = "X-Expect-Instance";

  /** Response header: the ID of the target that created the response. */
  public static final String RESPONDING_TARGET = "X-Instance-Id";

  /** Response header: signature of the target's application, which proves the response's origin. */
  public static final String UPSTREAM_SIGNATURE = "X-Upstream-Signature";

  /** Response header: present if the target did not run the request. */
  public static final String NOT_EXECUTED = "X-Not-Executed";

  /**
   * Response header: the load report, {@code running,waiting,slots} or {@code
   * running,waiting,slots,pace}. The values are the number of running requests, of queued requests
   * and of request slots, and the current processing time in percent of the usual one.
   */
  public static final String LOAD_REPORT = "X-Upstream-Load";

  /** Response header: the remaining time in milliseconds until the target is warm. */
  public static final String REMAINING_WARM_UP_MILLIS = "X-Warmup-Ms";

  /**
   * Response header of the store: the number of its era. It rises by one each time the store is
   * restored from an earlier copy, which loses records and gives their offsets out again.
   */
  public static final String STORE_ERA = "Store-Era";

  /** The path of the request for the latest record of each key. */
  public static final String LOG_NEWEST_PATH = "/radishpost/log-newest";

  /** The path of the request for the records from an offset onwards. */
  public static final String LOG_READ_PATH = "/radishpost/log-read";

  /** The path of the request that appends records. */
  public static final String LOG_APPEND_PATH = "/radishpost/log-append";

  /** The topic of the operators: the configuration and the zones that are out of service. */
  public static final String OPERATOR_TOPIC = "keyed.op";

  /** The topic of the targets' entries; the key is the ID of the target. */
  public static final String TARGET_TOPIC = "keyed.servers";

  /** The key of the configuration in the operators' topic. */
  public static final String CONFIGURATION_KEY = "config";

  /** The prefix of the keys of zones that are out of service; the name of the zone follows. */
  public static final String EVACUATION_PREFIX = "evacuate/";

  private WireNames() {}
}
