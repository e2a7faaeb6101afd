package org.radishpost.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.radishpost.errors.AdminRequestException;
import org.radishpost.events.Event;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventTimestamp;
import org.radishpost.lib.VmId;

/** Converts events to JSON and back. */
public final class EventJson {
  private EventJson() {}

  /** Returns the document that the administration API sends for a list of events. */
  static ObjectNode of(List<Event> events) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ArrayNode list = node.putArray("events");
    events.forEach(event -> list.add(of(event)));
    return node;
  }

  /** Returns the JSON object of one event. */
  public static ObjectNode of(Event event) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("stamp", event.timestamp().format());
    node.put("vm", event.vm().value());
    node.put("sequence", event.sequence());
    node.put("event", event.code().number());
    node.put("name", event.code().name());
    node.put("level", event.code().level().name());
    ObjectNode fields = node.putObject("fields");
    event.fields().forEach(field -> fields.put(field.name(), field.value()));
    return node;
  }

  /**
   * Reads the events from the response of a VM.
   *
   * @throws AdminRequestException if this release cannot read the events
   */
  public static List<Event> read(JsonNode response) throws AdminRequestException {
    List<Event> events = new ArrayList<>();
    try {
      for (JsonNode node : response.path("events")) {
        List<EventField> fields = new ArrayList<>();
        node.path("fields")
            .properties()
            .forEach(
                field -> fields.add(new EventField(field.getKey(), field.getValue().asText())));
        events.add(
            new Event(
                EventTimestamp.parse(node.path("stamp").asText()),
                new VmId(node.path("vm").asText()),
                node.path("sequence").asLong(),
                EventCode.valueOf(node.path("name").asText()),
                fields));
      }
    } catch (IllegalArgumentException e) {
      throw new AdminRequestException(
          "This release cannot read the VM's events: use the radishpost of the VM's release.", e);
    }
    return events;
  }
}
