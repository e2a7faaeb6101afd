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
 * @param vm the ID of the VM; a replacement gets a new ID
 * @param place the region and zone of the process
 * @param edge the address for callers' requests
 * @param hop the address for calls from other VMs
 * @param link the address for links from other VMs
 * @param admin the address of the administration API
 * @param platform the addresses of the platform's services
 * @param linkKeyEnv the name of the environment variable that holds the key shared by all VMs
 * @param homeKeyEnv the name of the environment variable that holds the key for the digests of
 *     calls with home regions; empty if no such calls are served
 * @param tokens the tokens of the administration API
 * @param limits the limits on requests and connections
 * @param shutdown how the process shuts down
 * @param balancing how calls are distributed among targets
 * @param logFormat the format of the log
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
  /** Creates the record with an immutable copy of the list. */
  public NodeSettings {
    tokens = List.copyOf(tokens);
  }

  /**
   * The addresses of the platform's services.
   *
   * @param log the address of the log
   * @param vmList the address of the list of VMs
   */
  public record PlatformSettings(Endpoint log, Endpoint vmList) {}

  /**
   * One token of the administration API.
   *
   * @param digest the SHA-256 digest of the token
   * @param scopes the permissions of the token: {@code read}, {@code operate}, {@code
   *     publish:TENANT} or {@code read:TENANT}
   */
  public record TokenSettings(Digest digest, List<String> scopes) {
    /** Creates the record with an immutable copy of the list. */
    public TokenSettings {
      scopes = List.copyOf(scopes);
    }
  }

  /**
   * Limits on requests and connections.
   *
   * @param headerBytes the maximum size of the header section of a request
   * @param replayBytes the number of body bytes that are buffered for resending the call
   * @param callerConnections the maximum number of connections from one caller address
   * @param connections the maximum number of connections from all callers
   * @param slowSenderTimeout the maximum pause while a request is received
   */
  public record LimitSettings(
      int headerBytes,
      int replayBytes,
      int callerConnections,
      int connections,
      Duration slowSenderTimeout) {}

  /**
   * How the process shuts down.
   *
   * @param balancerWait the wait between reporting not ready and refusing connections, in which the
   *     platform's load balancer can react
   * @param drainLimit the maximum wait for running requests to finish
   */
  public record ShutdownSettings(Duration balancerWait, Duration drainLimit) {}

  /** How calls are distributed among targets. */
  public enum Balancing {
    /** One owner VM per pool queues the calls for its targets. */
    OWNER,
    /** Baseline: every VM sends calls to the targets in turn. */
    ROUND_ROBIN,
    /**
     * Baseline: every VM sends a call to the less loaded of two random targets, by its own view.
     */
    TWO_CHOICES,
    /**
     * Baseline: every VM sends a call to the target with the lowest sum of reported load and own
     * calls in flight.
     */
    LEAST_LOADED
  }

  /** The format of the log. */
  public enum LogFormat {
    /** One JSON object per line. */
    JSON,
    /** Human-readable text. */
    TEXT
  }
}
