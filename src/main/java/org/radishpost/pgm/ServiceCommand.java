package org.radishpost.pgm;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.radishpost.config.ConfigChangeRules;
import org.radishpost.config.Scope;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.SettingsException;

/** A command that takes a zone, a region or a VM out of service or back in. */
public abstract class ServiceCommand extends ChangeCommand {
  private static final Set<String> DIRECTIONS = Set.of("out", "in");

  private final Scope.Kind kind;

  @Arguments(
      title = {"out|in", "NAME"},
      description = "What to do, and the name.")
  @Required
  private List<String> arguments = new ArrayList<>();

  @Option(
      name = {"--base-version"},
      title = "V",
      description = "The version of the last change that you saw, 0 for none, -1 for any.")
  private long baseVersion = ConfigChangeRules.ANY_VERSION;

  /** Creates a command for scopes of the given kind. */
  protected ServiceCommand(Scope.Kind kind) {
    this.kind = kind;
  }

  @Override
  protected final ExitCode run() throws RadishpostException {
    if (arguments.size() != 2 || !DIRECTIONS.contains(arguments.getFirst())) {
      throw new SettingsException(
          "Give 'out' or 'in' and exactly one name: see radishpost help " + kindName() + ".");
    }
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("scope", kindName());
    body.put("name", arguments.get(1));
    body.put("out", arguments.getFirst().equals("out"));
    body.put("baseVersion", baseVersion);
    return sendChange(
        HttpMethod.POST, "/v1/service", body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private String kindName() {
    return kind.name().toLowerCase(Locale.ROOT);
  }
}
