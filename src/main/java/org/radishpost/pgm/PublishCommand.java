package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Path;
import org.radishpost.errors.RadishpostException;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;

/** Publishes a manifest. */
@Command(
    name = "publish",
    description =
        "Publish a manifest. Exit code 0: in force; 4: refused; 5: not known, run it again.")
public final class PublishCommand extends ChangeCommand {
  @Arguments(title = "FILE", description = "The manifest (JSON).")
  @Required
  private String file;

  /** Creates the command; called by the command-line parser. */
  public PublishCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    byte[] document = InputFiles.read(Path.of(file));
    Manifest manifest = new ManifestCodec().decode(document);
    return sendChange(HttpMethod.PUT, GatewayPaths.of(manifest.gateway().value()), document);
  }
}
