package org.radishpost.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Predicate;
import org.radishpost.config.ConfigFreshness;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.lib.GatewayName;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetStatus;

/** Writes the status of a VM as JSON. */
final class StatusJson {
  private StatusJson() {}

  /** Returns the complete status: all pools, the VMs of the system, and what is out of service. */
  static ObjectNode full(NodeStatus status, Configuration configuration) {
    ObjectNode node = limitedTo(status, gateway -> true);
    node.put("suspects", status.suspectCount());
    node.put("claimKeys", status.claimKeyCount());
    ArrayNode members = node.putArray("members");
    status.members().forEach(member -> write(member, members.addObject()));
    ArrayNode outOfService = node.putArray("outOfService");
    configuration.outOfService().stream()
        .sorted(java.util.Comparator.comparing(Scope::kind).thenComparing(Scope::name))
        .forEach(
            scope ->
                outOfService
                    .addObject()
                    .put("scope", scope.kind().name().toLowerCase(java.util.Locale.ROOT))
                    .put("name", scope.name()));
    return node;
  }

  /** Returns the status of the VM itself and of its pools that belong to the given gateways. */
  static ObjectNode limitedTo(NodeStatus status, Predicate<GatewayName> gateways) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("vm", status.vm().value());
    node.put("region", status.place().region().value());
    node.put("zone", status.place().zone().value());
    node.put("ready", status.ready());
    node.put("whyNotReady", status.notReadyReason());
    write(status.configFreshness(), node.putObject("config"));
    ArrayNode pools = node.putArray("pools");
    status.pools().stream()
        .filter(pool -> gateways.test(pool.view().pool().gateway()))
        .forEach(pool -> write(pool, pools.addObject()));
    return node;
  }

  private static void write(ConfigFreshness freshness, ObjectNode node) {
    node.put("version", freshness.version());
    node.put("toldVersion", freshness.newestKnownVersion());
    node.put("state", freshness.state().name());
    node.put("logSilenceMillis", freshness.timeSinceLogContact().toMillis());
    node.put("peers", freshness.connectedPeers());
  }

  private static void write(MemberStatus status, ObjectNode node) {
    node.put("vm", status.member().entry().id().value());
    node.put("region", status.member().entry().place().region().value());
    node.put("zone", status.member().entry().place().zone().value());
    node.put("alive", status.member().alive());
    node.put("leaving", status.member().entry().leaving());
    node.put("linked", status.linked());
    Optional<Long> version = status.configVersion();
    version.ifPresent(value -> node.put("configVersion", value));
  }

  private static void write(PoolStatus pool, ObjectNode node) {
    PoolView view = pool.view();
    node.put("pool", view.pool().toString());
    node.put("gateway", view.pool().gateway().value());
    node.put("service", view.pool().service().value());
    node.put("zone", view.pool().place().zone().value());
    node.put("slots", view.slots());
    node.put("running", view.running());
    node.put("queued", view.queued());
    node.put("waitMicros", view.waitNanos() / 1_000);
    node.put("serviceMicros", view.serviceNanos() / 1_000);
    ArrayNode targets = node.putArray("targets");
    pool.targets().forEach(target -> write(target, targets.addObject()));
  }

  private static void write(TargetStatus target, ObjectNode node) {
    node.put("address", target.target().toString());
    node.put("state", target.state().name());
    node.put("running", target.running());
    node.put("limit", target.limit());
  }
}
