package org.radishpost.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.RoutePolicy;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.WeightedService;

/** Decodes the operators' desired state into a manifest. */
final class DesiredStateDecoder {
  private static final GatewayName GATEWAY = new GatewayName("platform");
  private static final TenantName TENANT = new TenantName("platform");
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration PROBE_COST = Duration.ofMillis(6);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(20);
  private static final long DEFAULT_MAX_BODY_BYTES = 64L << 20;
  private static final int MAX_EJECTED_PERCENT = 50;
  private static final double DEFAULT_MAX_ATTEMPTS = 2;

  private DesiredStateDecoder() {}

  /**
   * Decodes a desired state.
   *
   * @throws PlatformDocumentException if a required field is missing or has the wrong type
   */
  static VersionedManifest decode(byte[] bytes) throws PlatformDocumentException {
    Document state = Document.parse("desired state", bytes);
    try {
      long maxBodyBytes =
          state.has("limits")
              ? (long) state.object("limits").number("max-body-bytes", DEFAULT_MAX_BODY_BYTES)
              : DEFAULT_MAX_BODY_BYTES;
      List<ServiceSpec> services = new ArrayList<>();
      for (Map.Entry<String, Document> service : state.objectMap("services").entrySet()) {
        services.add(service(service.getKey(), service.getValue()));
      }
      List<RouteSpec> routes = new ArrayList<>();
      for (Map.Entry<String, Document> route : state.objectMap("routes").entrySet()) {
        routes.add(route(route.getKey(), route.getValue(), maxBodyBytes));
      }
      routes.sort(Comparator.comparing((RouteSpec route) -> -route.pathPrefix().length()));
      long version = parseVersion(state.text("version"));
      return new VersionedManifest(version, new Manifest(GATEWAY, TENANT, 0, services, routes));
    } catch (IllegalArgumentException e) {
      throw new PlatformDocumentException("desired state: " + e.getMessage(), e);
    }
  }

  /** Returns the number in a version such as {@code r12}. */
  private static long parseVersion(String text) throws PlatformDocumentException {
    try {
      return Long.parseLong(text.substring(1));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      throw new PlatformDocumentException(
          "the version " + text + " is not a letter followed by a number.", e);
    }
  }

  private static ServiceSpec service(String name, Document service)
      throws PlatformDocumentException {
    int coldCallsPerSecond = (int) Math.max(1, service.number("warmup-per-s", 1));
    Duration rampDuration = service.optionalSeconds("warmup-s").orElse(Duration.ZERO);
    return new ServiceSpec(
        new ServiceName(name),
        List.of(),
        new ColdStartSpec(coldCallsPerSecond, coldCallsPerSecond, rampDuration),
        new ProbeSpec(service.text("health-path"), PROBE_COST, PROBE_INTERVAL),
        MAX_EJECTED_PERCENT);
  }

  private static RouteSpec route(String name, Document route, long maxBodyBytes)
      throws PlatformDocumentException {
    List<WeightedService> split = new ArrayList<>();
    for (Document part : route.objectList("traffic-split")) {
      split.add(new WeightedService(new ServiceName(part.text("service")), part.number("weight")));
    }
    ServiceName service =
        split.isEmpty() ? new ServiceName(route.text("service")) : split.getFirst().service();
    String kind = route.text("kind");
    Set<RegionName> homeRegions = new HashSet<>();
    for (String region : route.textList("allowed-regions")) {
      homeRegions.add(new RegionName(region));
    }
    return new RouteSpec(
        name,
        route.text("host").toLowerCase(Locale.ROOT),
        METHODS,
        route.text("path-prefix"),
        service,
        kind(kind),
        1,
        kind(kind) == RequestKind.READ,
        route.optionalSeconds("timeout-s").orElse(DEFAULT_TIMEOUT),
        maxBodyBytes,
        homeRegions,
        kind(kind) == RequestKind.READ ? DuplicateGuard.NONE : DuplicateGuard.CALLERS_NEVER_RESEND,
        new RoutePolicy(
            route.optionalSeconds("target-latency-s"),
            (int) Math.max(1, route.number("max-attempts", DEFAULT_MAX_ATTEMPTS)),
            (int) route.number("priority", 0),
            split));
  }

  /** Maps unknown kinds to {@link RequestKind#COMMIT}, whose requests must run at most once. */
  private static RequestKind kind(String name) {
    return switch (name) {
      case "idempotent" -> RequestKind.READ;
      case "upload" -> RequestKind.UPLOAD;
      default -> RequestKind.COMMIT;
    };
  }
}
