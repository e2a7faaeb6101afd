package org.radishpost.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.errors.SettingsFault;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.settings.NodeSettings.LimitSettings;
import org.radishpost.settings.NodeSettings.LogFormat;
import org.radishpost.settings.NodeSettings.PlatformSettings;
import org.radishpost.settings.NodeSettings.ShutdownSettings;
import org.radishpost.settings.NodeSettings.TokenSettings;

/** Creates the settings records from a tree that conforms to the schema. */
final class SettingsReader {
  private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("0.0.0.0", 0);

  private final List<SettingsFault> faults = new ArrayList<>();
  private final NodeSettings settings;

  SettingsReader(JsonNode root) {
    settings =
        new NodeSettings(
            new VmId(root.get("vm").textValue()),
            Place.of(root.get("region").textValue(), root.get("zone").textValue()),
            endpoint(root, "", "edge"),
            endpoint(root, "", "hop"),
            endpoint(root, "", "link"),
            endpoint(root, "", "admin"),
            platform(root.get("platform")),
            root.get("linkKeyEnv").textValue(),
            Optional.ofNullable(root.path("homeKeyEnv").textValue()),
            tokens(root.get("tokens")),
            limits(root.get("limits")),
            shutdown(root.get("shutdown")),
            Balancing.valueOf(root.get("balancing").textValue()),
            LogFormat.valueOf(root.get("logFormat").textValue()));
  }

  NodeSettings settings() {
    return settings;
  }

  List<SettingsFault> faults() {
    return faults;
  }

  private Endpoint endpoint(JsonNode object, String parent, String member) {
    try {
      return Endpoint.parse(object.get(member).textValue());
    } catch (IllegalArgumentException e) {
      faults.add(
          new SettingsFault(
              SettingsPaths.join(parent, member),
              e.getMessage() + ": specify an IP address and a port from 0 to 65535"));
      return PLACEHOLDER_ENDPOINT;
    }
  }

  private PlatformSettings platform(JsonNode node) {
    return new PlatformSettings(
        endpoint(node, "platform", "log"), endpoint(node, "platform", "vmList"));
  }

  private static List<TokenSettings> tokens(JsonNode list) {
    List<TokenSettings> tokens = new ArrayList<>();
    for (JsonNode token : list) {
      List<String> scopes = new ArrayList<>();
      token.get("scopes").forEach(scope -> scopes.add(scope.textValue()));
      tokens.add(new TokenSettings(new Digest(token.get("digest").textValue()), scopes));
    }
    return tokens;
  }

  private static LimitSettings limits(JsonNode node) {
    return new LimitSettings(
        node.get("headerBytes").intValue(),
        node.get("replayBytes").intValue(),
        node.get("callerConnections").intValue(),
        node.get("connections").intValue(),
        millis(node, "slowSenderMillis"));
  }

  private static ShutdownSettings shutdown(JsonNode node) {
    return new ShutdownSettings(
        millis(node, "balancerWaitMillis"), millis(node, "drainLimitMillis"));
  }

  private static Duration millis(JsonNode object, String member) {
    return Duration.ofMillis(object.get(member).longValue());
  }
}
