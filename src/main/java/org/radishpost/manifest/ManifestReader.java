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

/** Creates a manifest from a JSON tree and collects the faults of the tree. */
final class ManifestReader {
  private static final String NAME_REMEDY = "specify a name of 1 to 100 characters";
  private static final String ADDRESS_REMEDY =
      "specify an IP address and a port, such as 10.0.0.7:8080 or [fd00::7]:8080";
  private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("0.0.0.0", 0);
  private static final String PLACEHOLDER_NAME = "unreadable";

  private ManifestReader() {}

  static Manifest read(JsonNode tree, FaultCollector faults) {
    ManifestNode node = new ManifestNode(tree, "", faults);
    Manifest manifest =
        new Manifest(
            name(node, "gateway", GatewayName::new),
            name(node, "tenant", TenantName::new),
            node.longValue("baseVersion"),
            node.objectList("services", ManifestBounds.SERVICES, ManifestReader::service),
            node.objectList("routes", ManifestBounds.ROUTES, ManifestReader::route));
    node.addUnknownMemberFaults();
    return manifest;
  }

  private static ServiceSpec service(ManifestNode node) {
    return new ServiceSpec(
        name(node, "name", ServiceName::new),
        node.objectList("targets", ManifestBounds.TARGETS, ManifestReader::target),
        coldStart(node.object("coldStart")),
        probe(node.object("probe")),
        node.intValue("ejectPercent"));
  }

  private static TargetSpec target(ManifestNode node) {
    return new TargetSpec(
        node.parse("address", Endpoint::parse, PLACEHOLDER_ENDPOINT, ADDRESS_REMEDY),
        new Place(name(node, "region", RegionName::new), name(node, "zone", ZoneName::new)),
        node.intValue("slots"),
        node.intValue("connections"));
  }

  private static ColdStartSpec coldStart(ManifestNode node) {
    ColdStartSpec spec =
        new ColdStartSpec(
            node.intValue("calls"), node.intValue("callsPerSecond"), node.millis("rampMillis"));
    node.addUnknownMemberFaults();
    return spec;
  }

  private static ProbeSpec probe(ManifestNode node) {
    ProbeSpec spec =
        new ProbeSpec(
            node.stringValue("path"), node.millis("costMillis"), node.millis("intervalMillis"));
    node.addUnknownMemberFaults();
    return spec;
  }

  private static RouteSpec route(ManifestNode node) {
    return new RouteSpec(
        node.stringValue("name"),
        node.stringValue("host", ""),
        node.stringSet(
            "methods",
            ManifestBounds.METHODS,
            Function.identity(),
            "specify the method as a string"),
        node.stringValue("pathPrefix"),
        name(node, "service", ServiceName::new),
        node.enumConstant("kind", RequestKind.class),
        node.intValue("weight"),
        node.booleanValue("idempotent"),
        node.millis("deadlineMillis"),
        node.longValue("maxBodyBytes"),
        node.stringSet("homeRegions", ManifestBounds.HOME_REGIONS, RegionName::new, NAME_REMEDY),
        node.enumConstant("duplicateGuard", DuplicateGuard.class, DuplicateGuard.NONE));
  }

  private static <T> T name(ManifestNode node, String member, Function<String, T> parser) {
    return node.parse(member, parser, parser.apply(PLACEHOLDER_NAME), NAME_REMEDY);
  }
}
