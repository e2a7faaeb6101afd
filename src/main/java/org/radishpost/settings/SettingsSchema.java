package org.radishpost.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.radishpost.errors.SettingsFault;

/** The JSON schema of the settings, which validates a tree and supplies default values. */
final class SettingsSchema {
  private static final String RESOURCE = "node-settings.schema.json";
  private static final int MAX_FAULTS = 100;

  private final JsonNode document;
  private final JsonSchema schema;

  SettingsSchema() {
    document = load();
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    schema =
        JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(document, config);
  }

  List<SettingsFault> faults(JsonNode settings) {
    return schema.validate(settings).stream().limit(MAX_FAULTS).map(this::toFault).toList();
  }

  /** Adds the defaults of omitted members. The settings must be valid. */
  void addDefaults(JsonNode settings) {
    addDefaults(document, (ObjectNode) settings);
  }

  private static void addDefaults(JsonNode objectSchema, ObjectNode object) {
    for (var property : objectSchema.path("properties").properties()) {
      JsonNode memberSchema = property.getValue();
      String name = property.getKey();
      if (memberSchema.has("default") && !object.has(name)) {
        object.set(name, memberSchema.get("default").deepCopy());
      }
      if (object.path(name) instanceof ObjectNode member) {
        addDefaults(memberSchema, member);
      }
    }
  }

  private SettingsFault toFault(ValidationMessage message) {
    String parent = SettingsPaths.toDottedPath(message.getInstanceLocation());
    String member = message.getProperty();
    return switch (message.getType()) {
      case "required" ->
          new SettingsFault(
              SettingsPaths.join(parent, member),
              "is missing: add it. " + describe(memberSchema(message, member)));
      case "additionalProperties" ->
          new SettingsFault(
              SettingsPaths.join(parent, member),
              "is unknown: remove it or correct its spelling. Times are in ms and named ...Millis,"
                  + " sizes are in bytes and named ...Bytes.");
      default -> new SettingsFault(parent, "is invalid. " + describe(message.getEvaluationPath()));
    };
  }

  private JsonNode memberSchema(ValidationMessage message, String member) {
    JsonNode object = document.at(pointer(message.getEvaluationPath().getParent()));
    return object.path("properties").path(member);
  }

  /** Returns the description that is closest to a keyword on its evaluation path. */
  private String describe(JsonNodePath keyword) {
    for (JsonNodePath path = keyword; path != null; path = path.getParent()) {
      JsonNode found = document.at(pointer(path));
      if (found.has("description")) {
        return describe(found);
      }
    }
    return describe(document);
  }

  private static String describe(JsonNode part) {
    return part.path("description")
        .asText("Provide one JSON object as described in docs/SETTINGS.md.");
  }

  private static String pointer(JsonNodePath path) {
    return path == null ? "" : path.toString();
  }

  private static JsonNode load() {
    try (InputStream in = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
      return new ObjectMapper().readTree(in);
    } catch (IOException e) {
      throw new UncheckedIOException("the schema of the settings could not be read", e);
    }
  }
}
