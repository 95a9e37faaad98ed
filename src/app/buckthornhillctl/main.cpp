#include <iostream>

#include "operators/operators_errors.h"
#include "operators/operators_module.h"

int main(int argc, char** argv)
{
    namespace operators = buckthornhill::operators;
    try {
        const auto command = operators::parse_command(argc, argv);
        std::cout << (command.help.empty() ? operators::run_command(command) : command.help);
        return 0;
    } catch (const operators::operators_error& failure) {
        std::cerr << "buckthornhillctl: " << failure.what() << "\n";
        return static_cast<int>(failure.status());
    }
}
