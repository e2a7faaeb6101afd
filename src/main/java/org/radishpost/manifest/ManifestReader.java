package org.radishpost.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Function;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.lib.ZoneName;

/** Reads the records of a manifest from a JSON tree and gathers the faults on the way. */
final class ManifestReader {
  private static final String NAME_REMEDY = "give a name of 1 to 100 characters";
  private static final String ADDRESS_REMEDY =
      "give an IP number and a port, such as 10.0.0.7:8080 or [fd00::7]:8080";
  private static final Endpoint ANY_ENDPOINT = new Endpoint("0.0.0.0", 0);
  private static final String ANY_NAME = "unreadable";

  private ManifestReader() {}

  static Manifest read(JsonNode tree, FaultCollector faults) {
    ManifestNode node = new ManifestNode(tree, "", faults);
    Manifest manifest =
        new Manifest(
            name(node, "gateway", GatewayName::new),
            name(node, "tenant", TenantName::new),
            node.number("baseVersion"),
            node.objects("services", ManifestBounds.SERVICES, ManifestReader::service),
            node.objects("routes", ManifestBounds.ROUTES, ManifestReader::route));
    node.close();
    return manifest;
  }

  private static ServiceSpec service(ManifestNode node) {
    return new ServiceSpec(
        name(node, "name", ServiceName::new),
        node.objects("targets", ManifestBounds.TARGETS, ManifestReader::target),
        coldStart(node.object("coldStart")),
        probe(node.object("probe")),
        node.smallNumber("ejectPercent"));
  }

  private static TargetSpec target(ManifestNode node) {
    return new TargetSpec(
        node.value("address", Endpoint::parse, ANY_ENDPOINT, ADDRESS_REMEDY),
        new Place(name(node, "region", RegionName::new), name(node, "zone", ZoneName::new)),
        node.smallNumber("slots"),
        node.smallNumber("connections"));
  }

  private static ColdStartSpec coldStart(ManifestNode node) {
    ColdStartSpec spec =
        new ColdStartSpec(
            node.smallNumber("calls"),
            node.smallNumber("callsPerSecond"),
            node.millis("rampMillis"));
    node.close();
    return spec;
  }

  private static ProbeSpec probe(ManifestNode node) {
    ProbeSpec spec =
        new ProbeSpec(node.text("path"), node.millis("costMillis"), node.millis("intervalMillis"));
    node.close();
    return spec;
  }

  private static RouteSpec route(ManifestNode node) {
    return new RouteSpec(
        node.text("name"),
        node.text("host", ""),
        node.set("methods", ManifestBounds.METHODS, Function.identity(), "give a method as text"),
        node.text("pathPrefix"),
        name(node, "service", ServiceName::new),
        node.choice("kind", RequestKind.class),
        node.smallNumber("weight"),
        node.flag("idempotent"),
        node.millis("deadlineMillis"),
        node.number("maxBodyBytes"),
        node.set("homeRegions", ManifestBounds.HOME_REGIONS, RegionName::new, NAME_REMEDY),
        node.choice("duplicateGuard", DuplicateGuard.class, DuplicateGuard.NONE));
  }

  private static <T> T name(ManifestNode node, String member, Function<String, T> maker) {
    return node.value(member, maker, maker.apply(ANY_NAME), NAME_REMEDY);
  }
}
