// A protoc plugin that turns the schema into plain structs, a codec and tables.
#include <google/protobuf/compiler/code_generator.h>
#include <google/protobuf/compiler/plugin.h>
#include <google/protobuf/io/zero_copy_stream.h>

#include <memory>
#include <string>

#include "schema_names.h"
#include "schema_writers.h"

namespace lacewingbridge::schema {

using google::protobuf::FileDescriptor;
using google::protobuf::compiler::GeneratorContext;
using google::protobuf::io::Printer;

class SchemaGenerator : public google::protobuf::compiler::CodeGenerator {
 public:
  std::uint64_t GetSupportedFeatures() const override { return FEATURE_PROTO3_OPTIONAL; }

  bool Generate(const FileDescriptor* file, const std::string& /*parameter*/,
                GeneratorContext* context, std::string* /*error*/) const override {
    const std::string base = GetBaseName(*file);
    if (base == "options") {
      return true;
    }
    this->WriteFile(*context, base + ".h", *file, WriteStructHeader);
    if (file->message_type_count() > 0) {
      this->WriteFile(*context, base + "_codec.h", *file, WriteCodecHeader);
      this->WriteFile(*context, base + "_codec.cc", *file, WriteCodecSource);
    }
    return true;
  }

 private:
  template <typename Writer>
  void WriteFile(GeneratorContext& context, const std::string& name, const FileDescriptor& file,
                 Writer writer) const {
    const std::unique_ptr<google::protobuf::io::ZeroCopyOutputStream> stream(context.Open(name));
    Printer printer(stream.get(), '$');
    writer(file, printer);
  }
};

}  // namespace lacewingbridge::schema

int main(int argc, char** argv) {
  const lacewingbridge::schema::SchemaGenerator generator;
  return google::protobuf::compiler::PluginMain(argc, argv, &generator);
}
