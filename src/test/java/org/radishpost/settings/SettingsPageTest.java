package org.radishpost.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that docs/SETTINGS.md has exactly one row for each member of the schema. */
public class SettingsPageTest {
  @Test
  public void pageDescribesEachSchemaMember() throws IOException {
    List<String> rows = new ArrayList<>();
    addRows(schema(), "", rows);
    List<String> page = Files.readAllLines(Path.of("docs/SETTINGS.md"));
    int first = page.indexOf(rows.getFirst());
    assertTrue(first > 0, rows.getFirst());
    assertEquals(page.subList(first, page.indexOf("## Checks over several members") - 1), rows);
  }

  private static void addRows(JsonNode object, String path, List<String> rows) {
    List<String> required = new ArrayList<>();
    object.path("required").forEach(name -> required.add(name.textValue()));
    for (var member : object.path("properties").properties()) {
      String name = path + member.getKey();
      JsonNode schema = member.getValue();
      String value = schema.has("default") ? "`" + schema.get("default") + "`" : "none";
      rows.add(
          "| `%s` | %s | %s |"
              .formatted(
                  name,
                  required.contains(member.getKey()) ? "required" : value,
                  schema.path("description").textValue()));
      addRows(schema, name + ".", rows);
      addRows(schema.path("items"), name + "[].", rows);
    }
  }

  private static JsonNode schema() throws IOException {
    try (InputStream in = SettingsCodec.class.getResourceAsStream("node-settings.schema.json")) {
      return new ObjectMapper().readTree(in);
    }
  }
}
