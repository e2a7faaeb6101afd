package org.radishpost.manifest;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;

/** Writes a manifest to a JSON tree; equal manifests yield equal trees. */
final class ManifestWriter {
  private ManifestWriter() {}

  static ObjectNode write(Manifest manifest) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("gateway", manifest.gateway().value());
    node.put("tenant", manifest.tenant().value());
    node.put("baseVersion", manifest.baseVersion());
    ArrayNode services = node.putArray("services");
    manifest.services().forEach(service -> write(service, services.addObject()));
    ArrayNode routes = node.putArray("routes");
    manifest.routes().forEach(route -> write(route, routes.addObject()));
    return node;
  }

  private static void write(ServiceSpec service, ObjectNode node) {
    node.put("name", service.name().value());
    ArrayNode targets = node.putArray("targets");
    service.targets().forEach(target -> write(target, targets.addObject()));
    node.putObject("coldStart")
        .put("calls", service.coldStart().calls())
        .put("callsPerSecond", service.coldStart().callsPerSecond())
        .put("rampMillis", service.coldStart().ramp().toMillis());
    node.putObject("probe")
        .put("path", service.probe().path())
        .put("costMillis", service.probe().cost().toMillis())
        .put("intervalMillis", service.probe().interval().toMillis());
    node.put("ejectPercent", service.ejectPercent());
  }

  private static void write(TargetSpec target, ObjectNode node) {
    node.put("address", target.address().toString());
    node.put("region", target.place().region().value());
    node.put("zone", target.place().zone().value());
    node.put("slots", target.slots());
    node.put("connections", target.connections());
  }

  private static void write(RouteSpec route, ObjectNode node) {
    node.put("name", route.name());
    node.put("host", route.host());
    addSorted(node.putArray("methods"), route.methods());
    node.put("pathPrefix", route.pathPrefix());
    node.put("service", route.service().value());
    node.put("kind", route.kind().name());
    node.put("weight", route.weight());
    node.put("idempotent", route.idempotent());
    node.put("deadlineMillis", route.deadline().toMillis());
    node.put("maxBodyBytes", route.maxBodyBytes());
    addSorted(node.putArray("homeRegions"), route.homeRegions());
    node.put("duplicateGuard", route.duplicateGuard().name());
  }

  private static void addSorted(ArrayNode list, Collection<?> values) {
    values.stream().map(Object::toString).sorted().forEach(list::add);
  }
}
