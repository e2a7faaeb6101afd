package org.radishpost.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.ConfigChangeRules;
import org.radishpost.config.Scope;
import org.radishpost.errors.MalformedJsonException;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.StrictJson;

/** Decodes requests to take a zone, a region or a VM out of service or back in; thread-safe. */
final class ServiceChangeCodec {
  static final int MAX_BYTES = 4_096;

  private static final StrictJson.Bounds BOUNDS = new StrictJson.Bounds(MAX_BYTES, 2, 512, 20);
  private static final Set<String> FIELD_NAMES = Set.of("scope", "name", "out", "baseVersion");

  private final StrictJson json = new StrictJson(BOUNDS);

  /**
   * Decodes a change. Without a base version, the change applies to any current version.
   *
   * @throws ManifestException if the document is invalid; the message contains the path of each
   *     fault
   */
  ConfigChange.SetService decode(byte[] body) throws ManifestException {
    JsonNode node = parse(body);
    List<String> faults = validate(node);
    if (!faults.isEmpty()) {
      throw new ManifestException(String.join("; ", faults));
    }
    Scope scope =
        new Scope(
            Scope.Kind.valueOf(node.get("scope").textValue().toUpperCase(java.util.Locale.ROOT)),
            node.get("name").textValue());
    JsonNode baseVersion = node.path("baseVersion");
    return new ConfigChange.SetService(
        scope,
        node.get("out").booleanValue(),
        baseVersion.isMissingNode() ? ConfigChangeRules.ANY_VERSION : baseVersion.longValue());
  }

  private JsonNode parse(byte[] body) throws ManifestException {
    try {
      return json.read(body);
    } catch (MalformedJsonException e) {
      throw new ManifestException(e.getMessage(), e);
    }
  }

  private static List<String> validate(JsonNode node) {
    if (!node.isObject()) {
      return List.of("Provide one JSON object with scope, name and out.");
    }
    List<String> faults = new ArrayList<>();
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!FIELD_NAMES.contains(name)) {
        faults.add(name + ": unknown property: remove it");
      }
    }
    if (!Set.of("zone", "region", "vm").contains(node.path("scope").asText())) {
      faults.add("scope: specify zone, region or vm");
    }
    String name = node.path("name").asText();
    if (!node.path("name").isTextual()
        || name.isBlank()
        || name.length() > ConfigChangeRules.MAX_SCOPE_NAME_CHARS) {
      faults.add(
          "name: specify a string of 1 to "
              + ConfigChangeRules.MAX_SCOPE_NAME_CHARS
              + " characters");
    }
    if (!node.path("out").isBoolean()) {
      faults.add("out: specify true or false");
    }
    JsonNode baseVersion = node.path("baseVersion");
    boolean isInteger = baseVersion.canConvertToLong() && baseVersion.isIntegralNumber();
    if (!baseVersion.isMissingNode()
        && (!isInteger || baseVersion.longValue() < ConfigChangeRules.ANY_VERSION)) {
      faults.add("baseVersion: specify a version number, 0 for none or -1 for any");
    }
    return faults;
  }
}
