package org.radishpost.bench;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Endpoint;

/**
 * The calls that a {@link LoadDriver} sends and the events during the load. Immutable.
 *
 * @param seed the seed of all random numbers
 * @param callsPerSecond the mean arrival rate
 * @param warmUpMillis the duration of the warm-up; calls that arrive in it are not measured
 * @param durationMillis the duration of the measurement, which follows the warm-up
 * @param timeoutMillis the time that a caller waits for a response
 * @param maxInFlight the maximum number of calls in flight; further arrivals count as not sent
 * @param spread the distribution of calls over entries
 * @param entries the addresses that calls are sent to, as {@code ip:port}
 * @param kinds the kinds of calls
 * @param events the scripted events during the load
 * @param noise the noisy neighbors of the targets
 */
public record LoadPlan(
    long seed,
    double callsPerSecond,
    long warmUpMillis,
    long durationMillis,
    long timeoutMillis,
    int maxInFlight,
    Spread spread,
    List<String> entries,
    List<KindPlan> kinds,
    List<EventPlan> events,
    NoisePlan noise) {
  /** Copies the lists and replaces absent values by defaults. */
  public LoadPlan {
    spread = spread == null ? Spread.IN_TURN : spread;
    entries = entries == null ? List.of() : List.copyOf(entries);
    kinds = kinds == null ? List.of() : List.copyOf(kinds);
    events = events == null ? List.of() : List.copyOf(events);
    noise = noise == null ? NoisePlan.NONE : noise;
  }

  /** The distribution of calls over entries. */
  public enum Spread {
    /** The calls of each kind use the entries in turn. */
    IN_TURN,
    /** Each call uses a random entry. */
    RANDOM
  }

  /**
   * A kind of call.
   *
   * @param name the name in reports
   * @param method the HTTP method
   * @param path the request path
   * @param share the relative frequency of this kind; the shares of all kinds need not add up to 1
   * @param weight the weight of one answered call
   * @param bodyBytes the size of the request body
   * @param key whether each call has its own idempotency key
   * @param entries the addresses that calls of this kind are sent to, or empty to use the entries
   *     of the plan
   */
  public record KindPlan(
      String name,
      String method,
      String path,
      double share,
      int weight,
      int bodyBytes,
      boolean key,
      List<String> entries) {
    /** Copies the list and replaces an absent list by an empty one. */
    public KindPlan {
      entries = entries == null ? List.of() : List.copyOf(entries);
    }
  }

  /**
   * A scripted event: an HTTP request that changes the system under load.
   *
   * @param atMillis the send time, measured from the end of the warm-up
   * @param label the label in reports, or empty to omit the event from reports
   * @param method the HTTP method
   * @param url the URL of the request
   * @param body the request body, or empty for none
   * @param token the bearer token, or empty for none
   */
  public record EventPlan(
      long atMillis, String label, String method, String url, String body, String token) {
    /** Replaces absent texts by empty ones. */
    public EventPlan {
      label = label == null ? "" : label;
      body = body == null ? "" : body;
      token = token == null ? "" : token;
    }
  }

  /**
   * Noisy neighbors, which slow down each target at random times, independently of other targets.
   *
   * @param targets the addresses of the target stand-ins to slow down
   * @param factor the factor by which the service time of a slow target grows
   * @param share the fraction of time during which a target is slow
   * @param meanMillis the mean duration of a slow period
   */
  public record NoisePlan(List<String> targets, double factor, double share, long meanMillis) {
    /** No noisy neighbors. */
    public static final NoisePlan NONE = new NoisePlan(List.of(), 1, 0, 1);

    /** Copies the list and replaces an absent list by an empty one. */
    public NoisePlan {
      targets = targets == null ? List.of() : List.copyOf(targets);
    }
  }

  /**
   * Parses a plan from JSON.
   *
   * @throws SettingsException if the JSON is malformed or the plan is invalid
   */
  public static LoadPlan parse(byte[] json) throws SettingsException {
    try {
      LoadPlan plan = JsonMapper.builder().build().readValue(json, LoadPlan.class);
      plan.validate();
      return plan;
    } catch (IOException e) {
      throw new SettingsException(
          "The load plan cannot be parsed. Correct this error in it: " + e.getMessage(), e);
    }
  }

  /** Returns the scripted events and the events that simulate noisy neighbors. */
  List<EventPlan> allEvents() {
    return Stream.concat(events.stream(), NoisyNeighborEvents.createEvents(this).stream()).toList();
  }

  /** Returns the addresses that calls of a kind are sent to. */
  List<Endpoint> entriesOf(KindPlan kind) {
    List<String> addresses = kind.entries().isEmpty() ? entries : kind.entries();
    return addresses.stream().map(Endpoint::parse).toList();
  }

  /** Returns the duration of the load, including the warm-up. */
  long totalMillis() {
    return warmUpMillis + durationMillis;
  }

  private void validate() throws SettingsException {
    require(callsPerSecond > 0, "callsPerSecond: give a rate greater than 0.");
    require(durationMillis > 0, "durationMillis: give a duration greater than 0.");
    require(timeoutMillis > 0, "timeoutMillis: give a timeout greater than 0.");
    require(maxInFlight > 0, "maxInFlight: give a number greater than 0.");
    require(!kinds.isEmpty(), "kinds: give at least one kind.");
    for (KindPlan kind : kinds) {
      require(kind.share() > 0, "kinds: give each kind a share greater than 0.");
      require(
          !kind.entries().isEmpty() || !entries.isEmpty(), "entries: give at least one address.");
    }
  }

  private static void require(boolean condition, String remedy) throws SettingsException {
    if (!condition) {
      throw new SettingsException("The load plan is invalid. " + remedy);
    }
  }
}
