package org.radishpost.admin;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.ConfigFreshness;
import org.radishpost.config.Configuration;
import org.radishpost.config.PublishResult;
import org.radishpost.config.VersionedManifest;
import org.radishpost.events.Event;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import reactor.core.publisher.Mono;

/** A backend with one manifest that records the changes requested of it. */
final class FakeAdminBackend implements AdminBackend {
  final MetricRegistry metrics = new MetricRegistry();
  final List<ConfigChange> changes = new ArrayList<>();
  final List<String> operationIds = new ArrayList<>();
  PublishResult nextResult = new PublishResult.Accepted(7);
  private final Configuration configuration;

  FakeAdminBackend(Manifest manifest) {
    configuration =
        new Configuration(
            5, Map.of(manifest.gateway(), new VersionedManifest(5, manifest)), Set.of());
  }

  AdminResponse send(Set<String> scopes, String method, String target, byte[] body) {
    AdminRoutes routes =
        new AdminRoutes(this, (code, fields) -> {}, new ManifestCodec(), new ManifestValidator());
    AdminRequest request = new AdminRequest(method, target, "", "", body);
    return routes.handle(request, new Permissions(Digest.of("t"), scopes)).block();
  }

  AdminResponse get(Set<String> scopes, String target) {
    return send(scopes, "GET", target, new byte[0]);
  }

  static String bodyText(AdminResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8);
  }

  @Override
  public NodeStatus status() {
    return new NodeStatus(
        new VmId("vm-1"),
        Place.of("r", "z"),
        "",
        new ConfigFreshness(ConfigFreshness.State.FRESH, 5, 5, Duration.ZERO, 1),
        List.of(),
        List.of(),
        0,
        0);
  }

  @Override
  public Configuration configuration() {
    return configuration;
  }

  @Override
  public Mono<PublishResult> change(String operationId, ConfigChange change) {
    operationIds.add(operationId);
    changes.add(change);
    return Mono.just(nextResult);
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  @Override
  public List<Event> eventsAfter(long sequence) {
    return List.of();
  }
}
