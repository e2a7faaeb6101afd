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

/** Answers the requests of holders of known tokens; thread-safe. */
final class AdminRoutes {
  private static final String GATEWAYS = "/v1/gateways";
  private static final String GATEWAY_PREFIX = GATEWAYS + "/";
  private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
  private static final int OPERATION_DIGEST_CHARS = 32;
  private static final AdminAnswer NOT_ALLOWED =
      AdminAnswer.refused(403, "The token's scopes do not allow this: use another token.");
  private static final AdminAnswer NOT_FOUND =
      AdminAnswer.refused(404, "There is no such path or gateway here: see docs/ADMIN.md.");
  private static final AdminAnswer NO_OPERATION =
      AdminAnswer.refused(
          400,
          "operation: name the operation in the field radishpost-operation or the parameter"
              + " operation, with 1 to 64 letters, digits, dots, colons, dashes or underscores");

  private final AdminView view;
  private final EventSink events;
  private final ManifestCodec codec;
  private final ManifestValidator validator;
  private final ServiceChangeCodec serviceChanges = new ServiceChangeCodec();

  AdminRoutes(AdminView view, EventSink events, ManifestCodec codec, ManifestValidator validator) {
    this.view = view;
    this.events = events;
    this.codec = codec;
    this.validator = validator;
  }

  /** Answers a request. */
  Mono<AdminAnswer> answer(AdminRequest request, Permissions holder) {
    if (!request.wellFormed()) {
      return Mono.just(AdminAnswer.refused(400, "The path is not well formed: encode it."));
    }
    String path = request.path();
    return switch (request.method()) {
      case "GET" -> Mono.fromSupplier(() -> read(path, request, holder));
      case "PUT" -> put(path, request, holder);
      case "POST" -> path.equals("/v1/service") ? operate(request, holder) : Mono.just(NOT_FOUND);
      default ->
          Mono.just(AdminAnswer.refused(405, "The method is not known here: see docs/ADMIN.md."));
    };
  }

  private AdminAnswer read(String path, AdminRequest request, Permissions holder) {
    if (path.startsWith(GATEWAY_PREFIX)) {
      return gateway(path.substring(GATEWAY_PREFIX.length()), holder);
    }
    return switch (path) {
      case "/v1/status" -> status(holder);
      case GATEWAYS -> gateways(holder);
      case "/v1/metrics" -> holder.readSystem() ? metrics(request) : NOT_ALLOWED;
      case "/v1/timeline" -> holder.readSystem() ? timeline(request) : NOT_ALLOWED;
      default -> NOT_FOUND;
    };
  }

  private AdminAnswer status(Permissions holder) {
    if (holder.readSystem()) {
      return AdminAnswer.json(200, StatusJson.whole(view.status(), view.configuration()));
    }
    return AdminAnswer.json(
        200, StatusJson.part(view.status(), name -> readable(name, holder).isPresent()));
  }

  private Optional<VersionedManifest> readable(GatewayName name, Permissions holder) {
    return Optional.ofNullable(view.configuration().manifests().get(name))
        .filter(found -> holder.read(found.manifest().tenant()));
  }

  private AdminAnswer gateways(Permissions holder) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("configVersion", view.configuration().version());
    ArrayNode list = node.putArray("gateways");
    view.configuration().manifests().values().stream()
        .filter(found -> holder.read(found.manifest().tenant()))
        .sorted(Comparator.comparing(found -> found.manifest().gateway()))
        .forEach(
            found ->
                list.addObject()
                    .put("gateway", found.manifest().gateway().value())
                    .put("tenant", found.manifest().tenant().value())
                    .put("version", found.version()));
    return AdminAnswer.json(200, node);
  }

  private AdminAnswer gateway(String text, Permissions holder) {
    return name(text)
        .flatMap(name -> readable(name, holder))
        .map(found -> AdminAnswer.json(200, ManifestJson.of(found, codec)))
        .orElse(NOT_FOUND);
  }

  private static Optional<GatewayName> name(String text) {
    if (text.isBlank() || text.length() > GatewayName.MAX_CHARS) {
      return Optional.empty();
    }
    return Optional.of(new GatewayName(text));
  }

  private AdminAnswer metrics(AdminRequest request) {
    boolean prometheus =
        request
            .parameter("format")
            .map("prometheus"::equals)
            .orElse(request.accept().contains("text/plain"));
    return prometheus
        ? AdminAnswer.text(PROMETHEUS, PrometheusText.of(view.metrics()))
        : AdminAnswer.json(200, MetricsJson.of(view.metrics()));
  }

  private AdminAnswer timeline(AdminRequest request) {
    try {
      long after = Long.parseLong(request.parameter("after").orElse("0"));
      return AdminAnswer.json(200, TimelineJson.of(view.timeline(after)));
    } catch (NumberFormatException e) {
      return AdminAnswer.refused(400, "after: give the number of the last event that is known");
    }
  }

  private Mono<AdminAnswer> put(String path, AdminRequest request, Permissions holder) {
    if (!path.startsWith(GATEWAY_PREFIX)) {
      return Mono.just(NOT_FOUND);
    }
    if (!holder.publishAny()) {
      return Mono.just(NOT_ALLOWED);
    }
    if (request.operation().isEmpty()) {
      return Mono.just(NO_OPERATION);
    }
    Manifest manifest;
    try {
      manifest = codec.decode(request.body());
    } catch (ManifestException e) {
      return Mono.just(AdminAnswer.refused(422, e.getMessage()));
    }
    if (!holder.publish(manifest.tenant())) {
      return Mono.just(NOT_ALLOWED);
    }
    List<String> faults = faults(manifest, path.substring(GATEWAY_PREFIX.length()));
    if (!faults.isEmpty()) {
      return Mono.just(AdminAnswer.refused(422, faults));
    }
    Wish wish =
        new Wish(
            request.operation().get(),
            new ConfigChange.Publish(manifest),
            Digest.of(codec.encode(manifest)),
            "publish " + manifest.gateway());
    return change(wish, holder);
  }

  private List<String> faults(Manifest manifest, String pathName) {
    if (!manifest.gateway().value().equals(pathName)) {
      return List.of("gateway: differs from the name in the path: make them equal");
    }
    return validator.faults(manifest).stream().map(ManifestFault::toString).toList();
  }

  private Mono<AdminAnswer> operate(AdminRequest request, Permissions holder) {
    if (!holder.operate()) {
      return Mono.just(NOT_ALLOWED);
    }
    if (request.operation().isEmpty()) {
      return Mono.just(NO_OPERATION);
    }
    try {
      ConfigChange.SetService change = serviceChanges.decode(request.body());
      String what =
          change.scope().kind() + " " + change.scope().name() + (change.out() ? " out" : " in");
      return change(
          new Wish(request.operation().get(), change, Digest.of(change.toString()), what), holder);
    } catch (ManifestException e) {
      return Mono.just(AdminAnswer.refused(422, e.getMessage()));
    }
  }

  private Mono<AdminAnswer> change(Wish wish, Permissions holder) {
    return view.change(wish.id(), wish.change())
        .doOnNext(result -> note(wish, holder, result))
        .map(result -> ChangeAnswers.of(result, wish.operation()));
  }

  private void note(Wish wish, Permissions holder, PublishResult result) {
    events.emit(
        EventCode.ADMIN_CHANGE,
        EventField.of("author", holder.author()),
        EventField.of("change", wish.what()),
        EventField.of("operation", wish.operation()),
        EventField.of("result", ChangeAnswers.word(result)));
  }

  /**
   * A change that somebody wants.
   *
   * @param operation the operation, as its author named it
   * @param change the change
   * @param content the digest of the change
   * @param what the change in a few words
   */
  private record Wish(String operation, ConfigChange change, Digest content, String what) {
    /** Returns the operation's name on the log: other content has another name. */
    String id() {
      return operation + "-" + content.hex().substring(0, OPERATION_DIGEST_CHARS);
    }
  }
}
