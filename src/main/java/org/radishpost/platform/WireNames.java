package org.radishpost.platform;

/** The names of the platform's headers, paths, topics and keys. */
public final class WireNames {
  /** The environment variable with the path of the settings file. */
  public static final String SETTINGS_VARIABLE = "RADISHPOST_CONFIG";

  /** The path at which the balancer asks for readiness. */
  public static final String READY_PATH = "/radishpost/ready";

  /** The field that names a request. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** How long the caller still waits. */
  public static final String DEADLINE_MILLIS = "X-Deadline-Ms";

  /** The only target that may run the request. */
  public static final String EXPECTED_TARGET = "X-Expect-Instance";

  /** The target that has made the answer. */
  public static final String RESPONDING_TARGET = "X-Instance-Id";

  /** Proof that an upstream's application made the answer. */
  public static final String UPSTREAM_SIGNATURE = "X-Upstream-Signature";

  /** Present on answers that state that the request was not run. */
  public static final String NOT_EXECUTED = "X-Not-Executed";

  /** What a target runs, what waits there, its slots and its pace in percent. */
  public static final String LOAD_REPORT = "X-Upstream-Load";

  /** How much longer a target stays cold. */
  public static final String REMAINING_WARM_UP_MILLIS = "X-Warmup-Ms";

  /** Asks for the newest record of each key. */
  public static final String LOG_NEWEST_PATH = "/radishpost/log-newest";

  /** Asks for the records from an offset on. */
  public static final String LOG_READ_PATH = "/radishpost/log-read";

  /** Appends records. */
  public static final String LOG_APPEND_PATH = "/radishpost/log-append";

  /** What the operators want: the configuration and the zones out of service. */
  public static final String OPERATOR_TOPIC = "keyed.op";

  /** The entries of the targets, each under the target's id. */
  public static final String TARGET_TOPIC = "keyed.servers";

  /** The key of the configuration. */
  public static final String CONFIGURATION_KEY = "config";

  /** The beginning of the keys of zones that are out of service. */
  public static final String EVACUATION_PREFIX = "evacuate/";

  private WireNames() {}
}
