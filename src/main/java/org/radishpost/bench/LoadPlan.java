package org.radishpost.bench;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Endpoint;

/**
 * A load to drive: what arrives when, and what happens meanwhile; immutable.
 *
 * @param seed the seed of all random numbers
 * @param callsPerSecond the mean rate of arrivals
 * @param warmUpMillis the time at the beginning whose calls are not counted
 * @param durationMillis the time that is counted, after the warm-up
 * @param timeoutMillis the longest wait of a caller
 * @param maxInFlight the most calls open at once; arrivals beyond it are counted as not sent
 * @param spread how the entries are chosen
 * @param entries where calls go, as {@code ip:port}
 * @param kinds the kinds of calls
 * @param events what happens meanwhile
 * @param noise the noisy neighbours of the targets
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
  /** Copies the lists; absent ones are empty. */
  public LoadPlan {
    spread = spread == null ? Spread.IN_TURN : spread;
    entries = entries == null ? List.of() : List.copyOf(entries);
    kinds = kinds == null ? List.of() : List.copyOf(kinds);
    events = events == null ? List.of() : List.copyOf(events);
    noise = noise == null ? NoisePlan.NONE : noise;
  }

  /** How the entries are chosen. */
  public enum Spread {
    /** Each entry in turn. */
    IN_TURN,
    /** A random one for each call. */
    RANDOM
  }

  /**
   * One kind of calls.
   *
   * @param name the name in reports
   * @param method the HTTP method
   * @param path the path
   * @param share its share of the arrivals, relative to the other kinds
   * @param weight the weight of one answered call
   * @param bodyBytes the size of the request body
   * @param key whether each call bears an idempotency key of its own
   * @param entries where this kind goes; empty for the plan's entries
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
    /** Copies the list; an absent one is empty. */
    public KindPlan {
      entries = entries == null ? List.of() : List.copyOf(entries);
    }
  }

  /**
   * One HTTP request that changes the system under load.
   *
   * @param atMillis when, from the end of the warm-up
   * @param label the text in reports; an event without one is left out there
   * @param method the HTTP method
   * @param url where to
   * @param body the request body, empty for none
   * @param token the bearer token, empty for none
   */
  public record EventPlan(
      long atMillis, String label, String method, String url, String body, String token) {
    /** Makes absent texts empty. */
    public EventPlan {
      label = label == null ? "" : label;
      body = body == null ? "" : body;
      token = token == null ? "" : token;
    }
  }

  /**
   * Noisy neighbours: each target is slow at random times, independently of the others.
   *
   * @param targets the addresses of target stand-ins
   * @param factor how many times slower a slow one is
   * @param share the share of the time for which it is slow
   * @param meanMillis the mean length of a slow time
   */
  public record NoisePlan(List<String> targets, double factor, double share, long meanMillis) {
    /** Nobody is noisy. */
    public static final NoisePlan NONE = new NoisePlan(List.of(), 1, 0, 1);

    /** Copies the list; an absent one is empty. */
    public NoisePlan {
      targets = targets == null ? List.of() : List.copyOf(targets);
    }
  }

  /**
   * Reads a plan.
   *
   * @throws SettingsException if the text is not a usable plan
   */
  public static LoadPlan parse(byte[] json) throws SettingsException {
    try {
      LoadPlan plan = JsonMapper.builder().build().readValue(json, LoadPlan.class);
      plan.validate();
      return plan;
    } catch (IOException e) {
      throw new SettingsException(
          "The plan is not readable: mend it as this says: " + e.getMessage(), e);
    }
  }

  /** Returns the scripted events and those of the noisy neighbours. */
  List<EventPlan> allEvents() {
    return Stream.concat(events.stream(), NoisyNeighborEvents.createEvents(this).stream()).toList();
  }

  /** Returns the entries of a kind. */
  List<Endpoint> entriesOf(KindPlan kind) {
    List<String> addresses = kind.entries().isEmpty() ? entries : kind.entries();
    return addresses.stream().map(Endpoint::parse).toList();
  }

  /** Returns the time from the start to the last arrival. */
  long totalMillis() {
    return warmUpMillis + durationMillis;
  }

  private void validate() throws SettingsException {
    require(callsPerSecond > 0, "callsPerSecond: give a rate above 0.");
    require(durationMillis > 0, "durationMillis: give a time above 0.");
    require(timeoutMillis > 0, "timeoutMillis: give a time above 0.");
    require(maxInFlight > 0, "maxInFlight: give a number above 0.");
    require(!kinds.isEmpty(), "kinds: give at least one.");
    for (KindPlan kind : kinds) {
      require(kind.share() > 0, "kinds: give each a share above 0.");
      require(
          !kind.entries().isEmpty() || !entries.isEmpty(), "entries: give at least one address.");
    }
  }

  private static void require(boolean condition, String remedy) throws SettingsException {
    if (!condition) {
      throw new SettingsException("The plan is not usable. " + remedy);
    }
  }
}
