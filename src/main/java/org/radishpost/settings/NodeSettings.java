package org.radishpost.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * The settings of one VM process.
 *
 * @param vm the identity; a replaced VM gets a new one
 * @param place where the process runs
 * @param edge where callers' requests come in
 * @param hop where calls from other VMs come in
 * @param link where links from other VMs come in
 * @param admin where administration comes in
 * @param platform where the platform's services are
 * @param linkKeyEnv the name of the environment variable that holds the key shared by all VMs
 * @param homeKeyEnv the name of the environment variable that holds the key for the digests of
 *     calls with home regions, absent where no such call is served
 * @param tokens who may use the administration API
 * @param limits bounds on what one process takes
 * @param shutdown how the process stops
 * @param balancing how calls are spread over targets
 * @param logFormat the form of the log
 */
public record NodeSettings(
    VmId vm,
    Place place,
    Endpoint edge,
    Endpoint hop,
    Endpoint link,
    Endpoint admin,
    PlatformSettings platform,
    String linkKeyEnv,
    Optional<String> homeKeyEnv,
    List<TokenSettings> tokens,
    LimitSettings limits,
    ShutdownSettings shutdown,
    Balancing balancing,
    LogFormat logFormat) {
  /** Copies the list. */
  public NodeSettings {
    tokens = List.copyOf(tokens);
  }

  /**
   * Where the platform's services are.
   *
   * @param log the log
   * @param vmList the list of VMs
   */
  public record PlatformSettings(Endpoint log, Endpoint vmList) {}

  /**
   * One token of the administration API.
   *
   * @param digest the SHA-256 digest of the token
   * @param scopes what it may do: {@code read}, {@code operate}, {@code publish:TENANT} or {@code
   *     read:TENANT}
   */
  public record TokenSettings(Digest digest, List<String> scopes) {
    /** Copies the list. */
    public TokenSettings {
      scopes = List.copyOf(scopes);
    }
  }

  /**
   * Bounds on what one process takes.
   *
   * @param headerBytes the largest head of a request
   * @param replayBytes the part of a body that is kept so that the call can go elsewhere
   * @param callerConnections the connections of one caller's address
   * @param connections the connections of all callers
   * @param slowSenderTimeout the longest pause within a request
   */
  public record LimitSettings(
      int headerBytes,
      int replayBytes,
      int callerConnections,
      int connections,
      Duration slowSenderTimeout) {}

  /**
   * How the process stops.
   *
   * @param balancerWait the wait between turning unready and refusing connections, for the
   *     platform's balancer
   * @param drainLimit the longest wait for running requests
   */
  public record ShutdownSettings(Duration balancerWait, Duration drainLimit) {}

  /** How calls are spread over targets. */
  public enum Balancing {
    /** One owner VM for each pool queues for its targets. */
    OWNER,
    /** Baseline: every VM sends to each target in turn. */
    ROUND_ROBIN,
    /** Baseline: every VM sends to the better of two random targets, by its own view. */
    TWO_CHOICES,
    /** Baseline: every VM sends to the target with the least of report and own calls in flight. */
    LEAST_LOADED
  }

  /** The form of the log. */
  public enum LogFormat {
    /** One JSON object a line. */
    JSON,
    /** Text for people. */
    TEXT
  }
}
