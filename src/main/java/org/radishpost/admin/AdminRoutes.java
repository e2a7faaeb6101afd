package org.radishpost.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.PublishResult;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.ManifestException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Digest;
import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestFault;
import org.radishpost.manifest.ManifestValidator;
import reactor.core.publisher.Mono;

/** Checks permissions and handles the requests that carry a valid token; thread-safe. */
final class AdminRoutes {
  private static final String GATEWAYS_PATH = "/v1/gateways";
  private static final String GATEWAY_PREFIX = GATEWAYS_PATH + "/";
  private static final String PROMETHEUS_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final int OPERATION_DIGEST_CHARS = 32;
  private static final AdminResponse FORBIDDEN =
      AdminResponse.refused(
          403, "The token's scopes do not allow this request: use another token.");
  private static final AdminResponse NOT_FOUND =
      AdminResponse.refused(404, "The path or the gateway does not exist: see docs/ADMIN.md.");
  private static final AdminResponse OPERATION_ID_MISSING =
      AdminResponse.refused(
          400,
          "operation: send an operation ID in the field radishpost-operation or in the query"
              + " parameter operation; it has 1 to 64 letters, digits, dots, colons, dashes or"
              + " underscores");

  private final AdminBackend backend;
  private final EventSink events;
  private final ManifestCodec codec;
  private final ManifestValidator validator;
  private final ServiceChangeCodec serviceChanges = new ServiceChangeCodec();

  AdminRoutes(
      AdminBackend backend, EventSink events, ManifestCodec codec, ManifestValidator validator) {
    this.backend = backend;
    this.events = events;
    this.codec = codec;
    this.validator = validator;
  }

  /** Handles a request and returns its response. */
  Mono<AdminResponse> handle(AdminRequest request, Permissions permissions) {
    if (!request.wellFormed()) {
      return Mono.just(
          AdminResponse.refused(400, "The path or the query is malformed: percent-encode it."));
    }
    String path = request.path();
    return switch (request.method()) {
      case "GET" -> Mono.fromSupplier(() -> handleGet(path, request, permissions));
      case "PUT" -> handlePut(path, request, permissions);
      case "POST" ->
          path.equals("/v1/service")
              ? handleServiceChange(request, permissions)
              : Mono.just(NOT_FOUND);
      default ->
          Mono.just(AdminResponse.refused(405, "The method is not supported: see docs/ADMIN.md."));
    };
  }

  private AdminResponse handleGet(String path, AdminRequest request, Permissions permissions) {
    if (path.startsWith(GATEWAY_PREFIX)) {
      return gateway(path.substring(GATEWAY_PREFIX.length()), permissions);
    }
    return switch (path) {
      case "/v1/status" -> status(permissions);
      case GATEWAYS_PATH -> gateways(permissions);
      case "/v1/metrics" -> permissions.canReadSystem() ? metrics(request) : FORBIDDEN;
      case "/v1/timeline" -> permissions.canReadSystem() ? timeline(request) : FORBIDDEN;
      default -> NOT_FOUND;
    };
  }

  private AdminResponse status(Permissions permissions) {
    if (permissions.canReadSystem()) {
      return AdminResponse.json(200, StatusJson.full(backend.status(), backend.configuration()));
    }
    return AdminResponse.json(
        200,
        StatusJson.limitedTo(
            backend.status(), name -> findReadable(name, permissions).isPresent()));
  }

  private Optional<VersionedManifest> findReadable(GatewayName name, Permissions permissions) {
    return Optional.ofNullable(backend.configuration().manifests().get(name))
        .filter(versionedManifest -> permissions.canRead(versionedManifest.manifest().tenant()));
  }

  private AdminResponse gateways(Permissions permissions) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("configVersion", backend.configuration().version());
    ArrayNode list = node.putArray("gateways");
    backend.configuration().manifests().values().stream()
        .filter(versionedManifest -> permissions.canRead(versionedManifest.manifest().tenant()))
        .sorted(Comparator.comparing(versionedManifest -> versionedManifest.manifest().gateway()))
        .forEach(
            versionedManifest ->
                list.addObject()
                    .put("gateway", versionedManifest.manifest().gateway().value())
                    .put("tenant", versionedManifest.manifest().tenant().value())
                    .put("version", versionedManifest.version()));
    return AdminResponse.json(200, node);
  }

  private AdminResponse gateway(String name, Permissions permissions) {
    return parseGatewayName(name)
        .flatMap(gatewayName -> findReadable(gatewayName, permissions))
        .map(
            versionedManifest -> AdminResponse.json(200, ManifestJson.of(versionedManifest, codec)))
        .orElse(NOT_FOUND);
  }

  private static Optional<GatewayName> parseGatewayName(String text) {
    if (text.isBlank() || text.length() > GatewayName.MAX_CHARS) {
      return Optional.empty();
    }
    return Optional.of(new GatewayName(text));
  }

  private AdminResponse metrics(AdminRequest request) {
    boolean prometheus =
        request
            .queryParameter("format")
            .map("prometheus"::equals)
            .orElse(request.accept().contains("text/plain"));
    return prometheus
        ? AdminResponse.text(PROMETHEUS_MEDIA_TYPE, PrometheusText.of(backend.metrics()))
        : AdminResponse.json(200, MetricsJson.of(backend.metrics()));
  }

  private AdminResponse timeline(AdminRequest request) {
    try {
      long after = Long.parseLong(request.queryParameter("after").orElse("0"));
      return AdminResponse.json(200, EventJson.of(backend.eventsAfter(after)));
    } catch (NumberFormatException e) {
      return AdminResponse.refused(
          400, "after: specify the sequence number of the last event that you have");
    }
  }

  private Mono<AdminResponse> handlePut(
      String path, AdminRequest request, Permissions permissions) {
    if (!path.startsWith(GATEWAY_PREFIX)) {
      return Mono.just(NOT_FOUND);
    }
    if (!permissions.canPublishAny()) {
      return Mono.just(FORBIDDEN);
    }
    if (request.operationId().isEmpty()) {
      return Mono.just(OPERATION_ID_MISSING);
    }
    Manifest manifest;
    try {
      manifest = codec.decode(request.body());
    } catch (ManifestException e) {
      return Mono.just(AdminResponse.refused(422, e.getMessage()));
    }
    if (!permissions.canPublish(manifest.tenant())) {
      return Mono.just(FORBIDDEN);
    }
    List<String> faults = validate(manifest, path.substring(GATEWAY_PREFIX.length()));
    if (!faults.isEmpty()) {
      return Mono.just(AdminResponse.refused(422, faults));
    }
    ChangeRequest changeRequest =
        new ChangeRequest(
            request.operationId().get(),
            new ConfigChange.Publish(manifest),
            Digest.of(codec.encode(manifest)),
            "publish " + manifest.gateway());
    return applyChange(changeRequest, permissions);
  }

  private List<String> validate(Manifest manifest, String pathName) {
    if (!manifest.gateway().value().equals(pathName)) {
      return List.of("gateway: differs from the name in the path: use the same name");
    }
    return validator.faults(manifest).stream().map(ManifestFault::toString).toList();
  }

  private Mono<AdminResponse> handleServiceChange(AdminRequest request, Permissions permissions) {
    if (!permissions.canOperate()) {
      return Mono.just(FORBIDDEN);
    }
    if (request.operationId().isEmpty()) {
      return Mono.just(OPERATION_ID_MISSING);
    }
    try {
      ConfigChange.SetService change = serviceChanges.decode(request.body());
      String description =
          change.scope().kind() + " " + change.scope().name() + (change.out() ? " out" : " in");
      return applyChange(
          new ChangeRequest(
              request.operationId().get(), change, Digest.of(change.toString()), description),
          permissions);
    } catch (ManifestException e) {
      return Mono.just(AdminResponse.refused(422, e.getMessage()));
    }
  }

  private Mono<AdminResponse> applyChange(ChangeRequest request, Permissions permissions) {
    return backend
        .change(request.logOperationId(), request.change())
        .doOnNext(result -> emitChangeEvent(request, permissions, result))
        .map(result -> ChangeResponses.of(result, request.operationId()));
  }

  private void emitChangeEvent(
      ChangeRequest request, Permissions permissions, PublishResult result) {
    events.emit(
        EventCode.ADMIN_CHANGE,
        EventField.of("author", permissions.author()),
        EventField.of("change", request.description()),
        EventField.of("operation", request.operationId()),
        EventField.of("result", ChangeResponses.eventValue(result)));
  }

  /**
   * A requested change.
   *
   * @param operationId the operation ID from the request
   * @param change the change
   * @param changeDigest the digest of the change
   * @param description a short description of the change, for events
   */
  private record ChangeRequest(
      String operationId, ConfigChange change, Digest changeDigest, String description) {
    /**
     * Returns the operation ID that is written to the log. It includes the digest of the change, so
     * the same ID with a different change is a different operation.
     */
    String logOperationId() {
      return operationId + "-" + changeDigest.hex().substring(0, OPERATION_DIGEST_CHARS);
    }
  }
}
